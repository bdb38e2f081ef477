//! Upstreams that turn an instance away and ask it for rest get nothing from it meanwhile.

use crate::saying::{Saying, SayingServer, WELL};
use crate::site::{self, ask, list_plain, request};
use passway_types::prelude::*;

const RESTS: Saying = Saying {
    status: 503,
    lines: "Retry-After: 2\r\n",
};
const REST: Duration = Duration::from_secs(2);
/// What is on its way when an upstream asks for rest.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// One request reached an engine three and four times, 100 ms apart, although its first answer had asked for
/// seconds of rest; another request did the same.
#[test]
fn nothing_within_rest() {
    for path in ["/read/", "/pay/"] {
        let server = SayingServer::start();
        let store = site::store(&[]);
        list_plain(&store, "i-0", server.address(), "ready");
        let instance = site::ready("one", &store);
        server.says(RESTS);
        let address = instance.callers_address();
        let callers = (0..6).map(|number| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(250 * number));
                let bytes = request("GET", path, &format!("id{number}"), "", "");
                ask(address, &bytes).expect("an answer").status
            })
        });
        let callers: Vec<_> = callers.collect();
        while server.count() == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        server.says(WELL);
        for caller in callers {
            let status = caller.join().expect("a caller");
            assert!([200, 503].contains(&status));
        }
        let arrivals = server.arrivals();
        let rest = arrivals[0] + ON_ITS_WAY..arrivals[0] + REST;
        let within = arrivals.iter().filter(|at| rest.contains(at)).count();
        assert_eq!(within, 0, "{path}");
    }
}
