//! A fake control instance, and invocation of the program.

use futures::{StreamExt, future};
use hyssopfork_cli::{command, error, output, program};
use hyssopfork_test_support::fixture;
use hyssopfork_wire::{consensus, control, envelope, name, number};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tarpc::server::{self, Channel};
use tarpc::{context, serde_transport, tokio_serde};

type Handler = dyn Fn(&control::Request) -> control::Response + Send + Sync;

/// A fake control instance that responds with `handler` and records the requests.
#[derive(Clone)]
pub struct Control {
    handler: Arc<Handler>,
    requests: Arc<Mutex<Vec<control::Request>>>,
}

impl control::Control for Control {
    async fn deliver(self, _: context::Context, _: envelope::Envelope<consensus::Packet>) {}

    async fn call(
        self,
        _: context::Context,
        request: envelope::Envelope<control::Request>,
    ) -> control::Response {
        let request = request.open().expect("the same protocol");
        self.requests.lock().expect("no panic").push(request.clone());
        (self.handler)(&request)
    }
}

impl Control {
    /// Starts an instance, which stops with the runtime of the test.
    pub async fn start(
        handler: impl Fn(&control::Request) -> control::Response + Send + Sync + 'static,
    ) -> (SocketAddr, Control) {
        use control::Control as _;
        let control = Control { handler: Arc::new(handler), requests: Arc::default() };
        let format = tokio_serde::formats::Bincode::default;
        let mut listener =
            serde_transport::tcp::listen("127.0.0.1:0", format).await.expect("a free port");
        let address = listener.local_addr();
        let served = control.clone();
        actix_rt::spawn(async move {
            while let Some(Ok(transport)) = listener.next().await {
                let channel = server::BaseChannel::with_defaults(transport);
                let responses = channel.execute(served.clone().serve());
                actix_rt::spawn(responses.for_each(|response| {
                    actix_rt::spawn(response);
                    future::ready(())
                }));
            }
        });
        (address, control)
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<control::Request> {
        self.requests.lock().expect("no panic").clone()
    }
}

/// Runs the program with arguments separated by blanks.
pub async fn run(arguments: &str) -> Result<output::Report, error::Error> {
    let words = ["hyssopfork"].into_iter().chain(arguments.split_whitespace());
    let matches = command::command().try_get_matches_from(words).expect("the arguments parse");
    program::run(&matches).await
}

/// Status of a fleet with one serving group of two members.
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

/// A lease holder with the current version of the view.
pub fn holding(instance: &str, report: Option<hyssopfork_wire::fleet::Report>) -> control::Holding {
    control::Holding {
        instance: instance.into(),
        agent: report.is_some(),
        version: number::Version(1),
        age: std::time::Duration::from_millis(100),
        report,
    }
}

/// Report of a warm back end with the fencing number of [`status`].
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
