//! The platform's API for duties: it checks the fencing numbers and keeps the accepted reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::record::Record;

/// Reports accepted for each window: the holder, its fencing number and the counts.
pub type Reports = BTreeMap<u64, Vec<(String, u64, String)>>;

#[derive(Default)]
struct State {
    /// Highest fencing number of each subject.
    fences: BTreeMap<String, u64>,
    reports: Reports,
}

/// The API.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    record: Record,
    pub address: SocketAddr,
}

impl Cloud {
    /// Starts the API.
    pub fn start(record: &Record) -> Cloud {
        let mut cloud = Cloud {
            state: Arc::default(),
            record: record.clone(),
            address: "127.0.0.1:0".parse().expect("an address"),
        };
        let serving = cloud.clone();
        cloud.address = http::serve(move |request, socket| serving.answer(request, socket));
        cloud
    }

    /// Returns the accepted reports.
    pub fn reports(&self) -> Reports {
        self.state.lock().expect("the API").reports.clone()
    }

    fn answer(&self, request: &Message, socket: &mut TcpStream) -> bool {
        let holder = request.header("dogwoodspur-duty-holder").to_owned();
        let fence = request.header("dogwoodspur-fencing-token");
        let fence: u64 = fence.parse().unwrap_or(0);
        let Some(body) = json::parse(&request.text()) else {
            return http::respond(socket, 400, "", "{}");
        };
        let is_usage = request.path() == "/usage";
        let subject = match is_usage {
            true => String::from("usage"),
            false => format!("{} {}", body.get("service"), body.get("zone")),
        };
        let mut state = self.state.lock().expect("the API");
        let highest = state.fences.entry(subject).or_default();
        if fence < *highest {
            drop(state);
            self.record
                .line(&format!("cloud: {holder} {fence} refused: a higher fence"));
            let error = "{\"error\":\"a higher fence was seen\"}";
            return http::respond(socket, 409, "", error);
        }
        *highest = fence;
        if is_usage {
            let window = body.get("windowNumber").number();
            let counts = body.get("counts").to_string();
            self.record.line(&format!(
                "cloud: accepts usage of window {window} from {holder}, fence {fence}: {counts}"
            ));
            let reports = state.reports.entry(window).or_default();
            reports.push((holder, fence, counts));
        }
        drop(state);
        http::respond(socket, 200, "", "{}")
    }
}
