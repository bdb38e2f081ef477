//! Engines leave orders without an answer and carry them out seconds later, and meanwhile all instances are killed
//! and start again.

use crate::engine::{Build, Engine, MODEL_MB, WEIGHTS_MB};
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const ENGINES: usize = 12;
/// Every third engine leaves the order to load a model without an answer: one in six of all orders, where a third may be.
const ENGINES_PER_LATE_ORDER: usize = 3;
/// The first of them is carried out after this time, each further one a step later; it may take 2 to 12 s.
const FIRST_DELAY: Duration = Duration::from_millis(2_200);
const DELAY_STEP: Duration = Duration::from_millis(600);

const BUILD: Build = Build {
    service: "llm",
    version: "v1",
    store_load: Duration::from_secs(6),
    events: 3,
    event_interval: Duration::ZERO,
};

fn model(letter: char, engine: usize) -> String {
    format!("{letter}{engine}")
}

fn configuration() -> String {
    let mut models = Vec::new();
    for engine in 0..ENGINES {
        for letter in ['a', 'b', 'c', 'x', 'y'] {
            models.push(format!(
                "{{\"name\":\"{}\",\"weights_mb\":{MODEL_MB},\"load_time_s\":6.0,\"adapters\":0,\"adapter_mb\":66.0,\"warm_s\":0.47,\"disk_s\":0.84}}",
                model(letter, engine)
            ));
        }
    }
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"chat\",\"host\":\"shop.example\",\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":2500,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":360,\"engine\":{{\"slots\":64,\"kv_capacity\":135497,\"stride\":5,\"weights_mb\":{WEIGHTS_MB},\"adapter_slots\":8,\"loads_per_s\":3.1,\"models\":[{}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        models.join(",")
    )
}

/// The status of the answer to a request; `None` if the connection ended without one.
fn ask(callers: SocketAddr, id: &str, model: &str) -> Option<String> {
    let mut stream = TcpStream::connect(callers).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let head = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: {model}\r\nToken-Usage: 600,300\r\nDeadline-Ms: 10000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    http::write(&mut stream, head.as_bytes());
    let answer = http::read_message(&mut stream, &mut Vec::new())?;
    Some(answer.target().to_owned())
}

fn ask_for(letter: char, instances: &[Instance], record: &Record) {
    for engine in 0..ENGINES {
        let callers = instances[engine % instances.len()].callers;
        let (name, record) = (model(letter, engine), record.clone());
        std::thread::spawn(move || {
            let status = ask(callers, &format!("r-{name}"), &name);
            record.line(&format!("the answer to r-{name} for {name}: {status:?}"));
        });
    }
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", &configuration());
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let names = |letters: &str| {
                letters
                    .chars()
                    .map(|letter| model(letter, number))
                    .collect::<Vec<_>>()
            };
            Engine::start(
                &store,
                record,
                (&format!("e-{number}"), &site.ip(100)),
                &BUILD,
                &names("abc"),
                &names("abcxy"),
            )
        })
        .collect();
    let start =
        |name: &str, ip: &str| Instance::start(&site.root, &site.folder, name, ip, store_address);
    let mut instances = [start("one", &site.ip(11)), start("two", &site.ip(12))];
    if !instances
        .iter()
        .all(|instance| instance.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(4));
    if site.trouble {
        for (number, engine) in (0..).zip(engines.iter().step_by(ENGINES_PER_LATE_ORDER)) {
            engine.leave_next_load(FIRST_DELAY + DELAY_STEP * number);
        }
    }
    ask_for('x', &instances, record);
    let until = Instant::now() + Duration::from_secs(3);
    let left = || engines.iter().map(Engine::left).sum::<usize>();
    while site.trouble && left() < ENGINES / ENGINES_PER_LATE_ORDER && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
    if site.trouble {
        if left() == 0 {
            record.line("no order was left without an answer");
            return Verdict::NotRun;
        }
        record.line(&format!(
            "{} orders have no answer; all instances are killed",
            left()
        ));
        for instance in &mut instances {
            instance.kill();
        }
        for instance in &mut instances {
            instance.spawn();
        }
    }
    if !instances
        .iter()
        .all(|instance| instance.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun;
    }
    record.line("all instances are ready");
    std::thread::sleep(Duration::from_secs(6));
    ask_for('y', &instances, record);
    std::thread::sleep(Duration::from_secs(8));
    let mut too_large = 0;
    for engine in &engines {
        for order in engine.too_large() {
            record.line(&format!("too large: {order}"));
            too_large += 1;
        }
    }
    record.line(&format!(
        "{too_large} orders to load were for more than the memory of their servers holds"
    ));
    if too_large > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
