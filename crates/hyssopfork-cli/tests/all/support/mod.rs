//! A control instance that answers as a test says, and runs of the program.

use futures::{StreamExt, future};
use hyssopfork_cli::{command, error, output, program};
use hyssopfork_test_support::fixture;
use hyssopfork_wire::{consensus, control, envelope, name, number};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tarpc::server::{self, Channel};
use tarpc::{context, serde_transport, tokio_serde};

type Handler = dyn Fn(&control::Request) -> control::Response + Send + Sync;

/// A control instance that answers what `handler` says and keeps what it was asked.
#[derive(Clone)]
pub struct Control {
    handler: Arc<Handler>,
    asked: Arc<Mutex<Vec<control::Request>>>,
}

impl control::Control for Control {
    async fn deliver(self, _: context::Context, _: envelope::Envelope<consensus::Packet>) {}

    async fn call(
        self,
        _: context::Context,
        request: envelope::Envelope<control::Request>,
    ) -> control::Response {
        let request = request.open().expect("the same protocol");
        self.asked.lock().expect("no panic").push(request.clone());
        (self.handler)(&request)
    }
}

impl Control {
    /// Starts one; it ends with the test's runtime.
    pub async fn start(
        handler: impl Fn(&control::Request) -> control::Response + Send + Sync + 'static,
    ) -> (SocketAddr, Control) {
        use control::Control as _;
        let this = Control { handler: Arc::new(handler), asked: Arc::default() };
        let format = tokio_serde::formats::Bincode::default;
        let mut listener =
            serde_transport::tcp::listen("127.0.0.1:0", format).await.expect("a free port");
        let address = listener.local_addr();
        let served = this.clone();
        actix_rt::spawn(async move {
            while let Some(Ok(transport)) = listener.next().await {
                let channel = server::BaseChannel::with_defaults(transport);
                let answers = channel.execute(served.clone().serve());
                actix_rt::spawn(answers.for_each(|answer| {
                    actix_rt::spawn(answer);
                    future::ready(())
                }));
            }
        });
        (address, this)
    }

    /// What it was asked.
    pub fn asked(&self) -> Vec<control::Request> {
        self.asked.lock().expect("no panic").clone()
    }
}

/// Runs the program on arguments, as a shell would split them.
pub async fn run(arguments: &str) -> Result<output::Report, error::Error> {
    let words = ["hyssopfork"].into_iter().chain(arguments.split_whitespace());
    let matches = command::command().try_get_matches_from(words).expect("the arguments parse");
    program::run(&matches).await
}

/// The status of a fleet whose one group of two serves.
pub fn status() -> control::Status {
    let members =
        [1, 2].map(|place| fixture::member(fixture::announcement("ikeja", "ikeja-1", place)));
    let mut view = fixture::view(members);
    let placement = hyssopfork_wire::fleet::Placement {
        fence: number::Fence(7),
        members: vec!["runner-1".into(), "runner-2".into()],
    };
    view.placements.insert("summaries-1".into(), placement);
    control::Status {
        holdings: vec![
            holding("runner-1", Some(report(true))),
            holding("runner-2", Some(report(false))),
            holding("entry-1", None),
        ],
        view,
        leader: name::Instance::from("control-1"),
        term: number::Term(3),
        committed: number::Index(40),
    }
}

/// A holding at the view's version.
pub fn holding(instance: &str, report: Option<hyssopfork_wire::fleet::Report>) -> control::Holding {
    control::Holding {
        instance: instance.into(),
        agent: report.is_some(),
        version: number::Version(1),
        age: std::time::Duration::from_millis(100),
        report,
    }
}

/// A warm back end's report under the fencing number of [`status`].
pub fn report(serving: bool) -> hyssopfork_wire::fleet::Report {
    hyssopfork_wire::fleet::Report {
        alive: true,
        warm: true,
        running: 2,
        joined: number::Fence(7),
        ended: number::Fence(0),
        serving,
    }
}
