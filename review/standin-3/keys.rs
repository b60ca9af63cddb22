//! ROUTE: a request runs whose key no configuration ever held.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::group::{GroupOptions, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration, has_trouble, Route};

const TIMEOUT_MS: u64 = 1_000;
/// `configApplyMs`, and a second for the answer.
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 3,
        work: Duration::from_millis(5),
        lag: Duration::from_millis(8),
    };
    let tenant = "[{\"name\":\"accra\",\"apiKeys\":[\"u3f1\"]}]";
    let route = Route {
        kind: "primary",
        service: SERVICE,
        timeout_ms: TIMEOUT_MS,
        tenants: Some(tenant),
    };
    let config = configuration(1, route);
    let site = Site::start(2, options, &config, record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let limit = Duration::from_secs(3);
    let front = site.daemons[0].front;
    let mut holder = Client::connect("holder", front, "lepu270 u3f1", record)
        .map_err(|error| format!("the tenant was refused: {error}"))?;
    if !matches!(
        holder.query("a1", "WRITE 1a4 first", limit),
        Answer::Done { .. }
    ) {
        return Err("the tenant's write was not accepted".to_owned());
    }
    if Client::connect("stranger", front, "lepu270 never-a-key", record).is_ok() {
        return Err("an unknown key was accepted before the change".to_owned());
    }
    if has_trouble() {
        record.line("the operator takes the last tenant away: version 2");
        let route = Route {
            tenants: Some("[]"),
            ..route
        };
        site.store.put("op", "config", &configuration(2, route));
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    if has_trouble() {
        holder.query("b1", "READ 1a4", limit);
    }
    for (index, daemon) in site.daemons.iter().enumerate() {
        let name = format!("stranger-{index}");
        if let Ok(mut stranger) =
            Client::connect(&name, daemon.front, "lepu270 never-a-key", record)
        {
            stranger.query(&format!("c{index}r"), "READ 1a4", limit);
            stranger.query(&format!("c{index}w"), "WRITE 1a4 stranger", limit);
        }
    }
    let mut broken = Vec::new();
    for run in record.runs() {
        if run.id.starts_with('c') {
            broken.push(format!(
                "ROUTE: a member ran {} of a client whose key no configuration ever held, under the name {}",
                run.id, run.caller
            ));
        }
        if run.id.starts_with('b') {
            broken.push(format!(
                "CONFIG: a member ran {} of a client whose key was taken away {} ms before",
                run.id,
                CONFIG_APPLY.as_millis() + 1_000
            ));
        }
    }
    Ok(broken)
}
