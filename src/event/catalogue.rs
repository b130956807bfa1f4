//! Catalogue of events.

use slog::Level;

macro_rules! catalogue {
    ($($number:literal $event:ident $level:ident $text:literal;)*) => {
        key! {
            /// A numbered log event, documented by its text.
            pub enum Event {
                $(
                    #[doc = $text]
                    $event,
                )*
            }
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// Returns the event number, which never changes.
            pub fn number(self) -> u16 {
                match self { $(Event::$event => $number),* }
            }

            /// Returns the log level.
            pub fn level(self) -> Level {
                match self { $(Event::$event => Level::$level),* }
            }

            /// Returns the log message.
            pub fn text(self) -> &'static str {
                match self { $(Event::$event => $text),* }
            }
        }
    };
}

catalogue! {
    101 Started Info "process started";
    102 Stopping Info "process stopping";
    103 Stopped Info "process stopped";
    104 Listening Info "listening";
    105 TaskFailed Error "a task failed and was restarted";
    106 SpanEnded Debug "span ended";
    107 LogLinesDropped Warning "log lines were dropped: rate limit or queue size exceeded";
    108 RequestCut Warning "a request was cut by the end of the process";

    201 SettingsReloaded Info "settings reloaded";
    202 SettingsRefused Error "changed settings are invalid; keeping the previous ones";

    301 PlatformLost Warning "platform service unreachable";
    302 PlatformBack Info "platform service reachable again";
    303 StoreCallFailed Warning "call to the platform service failed";
    304 EntryUnreadable Warning "entry of the platform service can't be parsed";
    305 StoreReader Info "this VM began or ceased to read the platform service by itself";

    401 ContactLost Warning "contact lost; refusing work that needs a key";
    402 ContactBack Info "contact restored";
    403 ConfigurationAdopted Info "configuration adopted";
    404 MemberJoined Info "member joined";
    405 MemberLost Warning "member lost";

    501 RequestFailed Info "request answered with an error";
    502 UpstreamDied Warning "upstream failed with requests in flight";
    503 RequestQuarantined Warning "request quarantined";
    504 RequestServed Info "request answered";
    505 StreamResumed Info "a stream goes on at another upstream";
    506 UpstreamAdded Info "upstream added";
    507 UpstreamRemoved Info "upstream removed";
    508 UpstreamFailed Warning "upstream failed; temporarily excluded from selection";
    509 PartHeldOff Warning "requests with a part of a prompt held off: upstreams crashed under it";
    510 PartCleared Info "part of a prompt no longer held off: an answer with it was completed";
    511 UpstreamLeaving Info "upstream said that it leaves; it gets no more requests";
    512 UpstreamLimited Info "limit of an upstream learnt, changed or ended";
    513 UpstreamsCutOff Warning "no direct way to the upstreams; connections go through other VMs";
    514 UpstreamsReached Info "upstreams can be reached directly again";
    515 UpstreamCold Info "an upstream is cold, or is no longer";
    516 QuotaUsedUp Info "requests kept back: the quota of a cold upstream is used up";
    517 Evacuated Warning "evacuation of a data centre learnt or taken back";
    518 AnswerUnbounded Warning "an answer passed a bound in bytes or time and was cut";
    519 ReaderSlow Info "a caller reads its response slowly";
    520 UpstreamDraining Info "entry of an upstream says that it leaves; it gets no more requests";
    522 UpstreamKept Info "entry of an upstream is missing after an outage; kept for a while";
    523 CrashesRead Info "what the store keeps of parts and requests that crash upstreams was read";

    601 SharesMoved Info "share table adopted";
    602 RateReleased Info "bucket of a rate limit released to another VM";
    603 RateTaken Info "bucket of a rate limit taken over from another VM";

    701 SegmentFenced Warning "outdated segment epoch rejected";
    702 JobAccepted Info "job accepted";
    703 JobCancelled Info "job cancelled";
    704 ReplicaReplaced Info "segment replica replaced";
    705 DiskFailed Error "data directory unusable";
    706 JobRepeated Info "job submitted again";
    707 JobFinished Info "job finished; all results are stored";
    708 JobLost Info "job is no longer run by this VM";
    709 JobTaken Info "job taken over from a VM that is gone";
    710 JobGivenUp Warning "remaining items of a job abandoned";
    711 ItemEnded Info "item attempt ended";
    712 RetirementReported Info "storage VM reported empty";
    713 ItemInterrupted Info "item preempted by online requests";
    714 ResultsStored Info "results of items stored";
    715 ItemStartedOver Info "item starts over: no upstream of its version has room";
    717 ItemFailureStored Info "number of failed attempts of an item stored";
    718 ResultsRefused Info "the store refused a write of results";

    801 OrderSent Info "order sent to upstream";
    802 OrderRefused Warning "order rejected by upstream";

    901 PeerRefused Warning "peer authentication failed";
    902 PeerLost Info "connection to peer lost";
}

impl Event {
    /// Whether the event reports normal operation, so that its lines are dropped first.
    pub fn is_routine(self) -> bool {
        matches!(self, Event::RequestServed | Event::ItemEnded)
    }
}
