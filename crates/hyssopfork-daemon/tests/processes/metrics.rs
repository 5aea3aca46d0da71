//! Metrics that a process serves at its metrics address.

use crate::support::{daemon, fleet, layout, operator};
use bytes::Bytes;
use hyssopfork_exchange::connection;
use hyssopfork_wire::patch;
use std::net::SocketAddr;

async fn get_metrics(address: SocketAddr) -> String {
    let mut connection = connection::Connection::connect(address).await.unwrap();
    let request = connection::Request { method: "GET", path: "/metrics", headers: &[] };
    connection.send(&request, Bytes::new()).await.unwrap();
    connection.read_head().await.unwrap();
    String::from_utf8(connection.read_rest().await.unwrap().to_vec()).unwrap()
}

fn parse_gauge(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {metrics}")).parse().unwrap()
}

#[actix_rt::test]
async fn gauges_report_lease_configuration_and_consensus() {
    let layout = layout::Layout::new();
    let (control, monitor) = (layout.address(), layout.address());
    let voters = layout::voters_setting(&[("control-1".to_owned(), control)]);
    let text = format!(
        r#"{{ "instance": "control-1", "zone": "zone-a", "roles": ["control", "entry"],
              "control_addresses": ["{control}"], "metrics_listen": "{monitor}",
              "entry": {{ "listen": "{}" }},
              "control": {{ "listen": "{control}", "data_folder": "{}", {voters} }} }}"#,
        layout.address(),
        layout.folder.join("data").display(),
    );
    let _daemon = daemon::Daemon::start(&layout.folder, "control-1", &text);
    let operator = operator::Operator::new(vec![control]);
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait_for("the entry holds", |status| operator::all_hold_current_view(status, 1)).await;

    let metrics = get_metrics(monitor).await;

    assert_eq!(parse_gauge(&metrics, "hyssopfork_configuration_number"), 1.0);
    assert_eq!(parse_gauge(&metrics, "hyssopfork_consensus_leads"), 1.0);
    assert!(parse_gauge(&metrics, "hyssopfork_consensus_committed") >= 2.0, "{metrics}");
    let left = parse_gauge(&metrics, "hyssopfork_lease_left_seconds");
    assert!(left > 0.0 && left <= 2.5, "{left}");
}
