//! The catalogue of events.

use slog::Level;

macro_rules! catalogue {
    ($($number:literal $event:ident $level:ident $text:literal;)*) => {
        key! {
            /// A numbered event; its text is the documentation.
            pub enum Event {
                $(
                    #[doc = $text]
                    $event,
                )*
            }
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// The number, fixed for ever.
            pub fn number(self) -> u16 {
                match self { $(Event::$event => $number),* }
            }

            /// The level it is logged at.
            pub fn level(self) -> Level {
                match self { $(Event::$event => Level::$level),* }
            }

            /// The fixed text.
            pub fn text(self) -> &'static str {
                match self { $(Event::$event => $text),* }
            }
        }
    };
}

catalogue! {
    101 Started Info "process started";
    102 Stopping Info "planned stop begun";
    103 Stopped Info "process stopped";
    104 Listening Info "listening";
    105 TaskFailed Error "a task failed and was restarted";
    106 SpanEnded Debug "span ended";
    107 LogLinesDropped Warning "log lines were dropped, more came than may be logged";

    201 SettingsReloaded Info "settings read again";
    202 SettingsRefused Error "changed settings are wrong, the old ones stay";

    301 PlatformLost Warning "the platform's service can't be reached";
    302 PlatformBack Info "the platform's service answers again";
    303 StoreCallFailed Warning "a call to the platform's service failed";
    304 EntryUnreadable Warning "an entry of the platform's service can't be read";

    401 ContactLost Warning "out of contact, keyed work is refused";
    402 ContactBack Info "in contact again";
    403 ConfigurationAdopted Info "configuration adopted";
    404 MemberJoined Info "member joined";
    405 MemberLost Warning "member lost";

    501 RequestFailed Info "request answered with an error";
    502 UpstreamDied Warning "an upstream died with requests in flight";
    503 RequestQuarantined Warning "a request is quarantined";
    504 RequestServed Info "request answered";
    505 StreamResumed Info "a stream goes on at another upstream";
    506 UpstreamAdded Info "upstream added";
    507 UpstreamRemoved Info "upstream removed";
    508 UpstreamFailed Warning "an upstream failed and gets no requests for a while";

    601 SharesMoved Info "share table adopted";

    701 SegmentFenced Warning "a segment's old epoch was refused";
    702 JobAccepted Info "job accepted";
    703 JobCancelled Info "job cancelled";
    704 ReplicaReplaced Info "segment replica replaced";
    705 DiskFailed Error "the data folder can't be used";
    706 JobRepeated Info "a job was submitted again";
    707 JobFinished Info "all results of a job are stored";
    708 JobLost Info "a job isn't run here any more";
    709 JobTaken Info "a job was taken over from a VM that is gone";
    710 JobGivenUp Warning "the items left of a job are given up";
    711 ItemEnded Info "an attempt to run an item ended";
    712 RetirementReported Info "a storage VM is reported empty";
    713 ItemInterrupted Info "an item makes room for online requests";

    801 OrderSent Info "order sent to an upstream";
    802 OrderRefused Warning "an upstream refused an order";

    901 PeerRefused Warning "a peer failed to prove itself";
    902 PeerLost Info "connection to a peer lost";
}

impl Event {
    /// Whether its lines may be dropped first: nothing went wrong.
    pub fn routine(self) -> bool {
        matches!(self, Event::RequestServed | Event::ItemEnded)
    }
}
