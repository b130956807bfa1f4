//! `parsleybeam jobs`: submits, follows, reads and cancels batch jobs.

mod client;
mod display;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use awc::http::Method;
use gumdrop::Options;
use parsleybeam::batch::{Phase, Progress};

use super::Failure;
use client::Client;
use display::Display;

/// Environment variable that gives the entry VM if `--entry` is not set.
const ENTRY_VARIABLE: &str = "PARSLEYBEAM_ENTRY";
/// Polling interval while following a job's progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Manages batch jobs as a caller.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Prints the usage text.
    #[options(help = "print this help")]
    help: bool,
    /// Caller address of an entry VM.
    #[options(help = "caller address of an entry VM (or PARSLEYBEAM_ENTRY)", meta = "IP:PORT")]
    entry: Option<SocketAddr>,
    /// API key of the caller.
    #[options(help = "caller's key (or PARSLEYBEAM_KEY)")]
    key: Option<String>,
    /// The subcommand and its arguments.
    #[options(command)]
    subcommand: Option<Subcommand>,
}

#[derive(Debug, Options)]
enum Subcommand {
    /// `jobs submit`
    #[options(help = "submit a file of JSON lines as a job")]
    Submit(Submit),
    /// `jobs status`
    #[options(help = "show a job's progress, or all jobs")]
    Status(Status),
    /// `jobs results`
    #[options(help = "print a job's results as JSON lines")]
    Results(Results),
    /// `jobs cancel`
    #[options(help = "cancel a job")]
    Cancel(Cancel),
}

#[derive(Debug, Options)]
struct Submit {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "name of the job; submitting a name again does not create a second job",
        required
    )]
    name: String,
    #[options(help = "path that the items are sent to", required)]
    path: String,
    #[options(help = "wait until the job has ended and show its progress")]
    wait: bool,
    #[options(free, help = "file of JSON lines; - reads standard input")]
    file: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "wait until the job has ended and show its progress")]
    wait: bool,
    #[options(free, help = "name of the job")]
    name: Option<String>,
}

#[derive(Debug, Options)]
struct Results {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of results to skip, to resume an interrupted download")]
    after: u32,
    #[options(free, help = "name of the job")]
    name: Option<String>,
}

#[derive(Debug, Options)]
struct Cancel {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "name of the job")]
    name: Option<String>,
}

/// Runs the subcommand given on the command line.
pub async fn run(arguments: Arguments) -> Result<(), Failure> {
    let entry = entry_address(&arguments)?;
    let key = arguments.key.or_else(|| std::env::var("PARSLEYBEAM_KEY").ok());
    let key = key.ok_or_else(|| Failure::Input("set --key or PARSLEYBEAM_KEY".into()))?;
    let client = Client::new(entry, &key);
    match arguments.subcommand {
        Some(Subcommand::Submit(submit)) => submit.run(&client).await,
        Some(Subcommand::Status(status)) => status.run(&client).await,
        Some(Subcommand::Results(results)) => results.run(&client).await,
        Some(Subcommand::Cancel(cancel)) => cancel.run(&client).await,
        None => Err(Failure::Input("a command is required; see parsleybeam jobs --help".into())),
    }
}

impl Submit {
    async fn run(self, client: &Client) -> Result<(), Failure> {
        let file =
            self.file.ok_or_else(|| Failure::Input("a file of JSON lines is required".into()))?;
        let body = read_input(&file)?;
        let path = format!("/v1/batches?name={}&path={}", self.name, self.path);
        let response = client.call(Method::POST, &path, body).await?;
        let note = if response.status == 200 { " (already submitted)" } else { "" };
        println!("job {} accepted{note}", self.name);
        if self.wait {
            follow(client, &self.name).await?;
        }
        Ok(())
    }
}

impl Status {
    async fn run(self, client: &Client) -> Result<(), Failure> {
        let Some(name) = self.name else {
            let response = client.get("/v1/batches").await?;
            let jobs: Vec<Progress> = response.field("batches")?;
            jobs.iter().for_each(|job| println!("{}", display::line(job)));
            return Ok(());
        };
        if self.wait {
            return follow(client, &name).await;
        }
        println!("{}", display::line(&progress(client, &name).await?));
        Ok(())
    }
}

impl Results {
    async fn run(self, client: &Client) -> Result<(), Failure> {
        let name = require_name(self.name)?;
        let mut after = self.after;
        loop {
            let page = client.get(&format!("/v1/batches/{name}/results?after={after}")).await?;
            let mut output = std::io::stdout().lock();
            output.write_all(&page.body).map_err(|error| Failure::Input(error.to_string()))?;
            let next = page.next.unwrap_or(after);
            if next == after {
                return Ok(());
            }
            after = next;
        }
    }
}

impl Cancel {
    async fn run(self, client: &Client) -> Result<(), Failure> {
        let name = require_name(self.name)?;
        let path = format!("/v1/batches/{name}/cancel");
        client.call(Method::POST, &path, Vec::new()).await?;
        println!("job {name} cancelled: no further items will start");
        Ok(())
    }
}

async fn progress(client: &Client, name: &str) -> Result<Progress, Failure> {
    client.get(&format!("/v1/batches/{name}")).await?.json()
}

/// Shows a job's progress until the job has ended.
async fn follow(client: &Client, name: &str) -> Result<(), Failure> {
    let mut display = Display::new();
    loop {
        let job = progress(client, name).await?;
        display.show(&job);
        if job.phase != Phase::Running {
            display.finish(&job);
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn require_name(name: Option<String>) -> Result<String, Failure> {
    name.ok_or_else(|| Failure::Input("the name of a job is required".into()))
}

fn read_input(file: &PathBuf) -> Result<Vec<u8>, Failure> {
    let mut body = Vec::new();
    let read = if file.as_os_str() == "-" {
        std::io::stdin().read_to_end(&mut body).map(drop)
    } else {
        std::fs::read(file).map(|bytes| body = bytes)
    };
    read.map_err(|error| Failure::Input(format!("{}: {error}", file.display())))?;
    Ok(body)
}

/// Returns the address of the entry VM from the option or, if it is not set, from the
/// environment.
fn entry_address(arguments: &Arguments) -> Result<SocketAddr, Failure> {
    if let Some(entry) = arguments.entry {
        return Ok(entry);
    }
    let text = std::env::var(ENTRY_VARIABLE)
        .map_err(|_| Failure::Input(format!("set --entry or {ENTRY_VARIABLE}")))?;
    text.parse().map_err(|error| Failure::Input(format!("{ENTRY_VARIABLE}: {text}: {error}")))
}
