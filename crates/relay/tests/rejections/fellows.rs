//! Two searchers of three that reject everything.
//!
//! Guards against two failing searchers that confirm each other's rejections, so that a third one,
//! which the route allows to be asked, is not asked.

use std::time::Duration;

use crate::count_served;
use crate::support::{ok, relay, reply, route, script, upstream};
use bergamot_declaration::{Idempotency, Route, Target};
use bergamot_standin::Step;

async fn served(failure: &'static str) -> usize {
    let failing = script(move |seen| vec![Step::Send(reply(seen, failure, "f", b""))]).await;
    let work = Duration::from_millis(5);
    let sound = script(move |seen| [vec![Step::Wait(work)], ok(seen, "s", b"body")].concat()).await;
    let upstreams = [("i1", &failing), ("i2", &failing), ("i3", &sound)];
    let upstreams = upstreams.map(|(id, searcher)| upstream(id, "s", searcher)).to_vec();
    let target = Target::Service("s".into());
    let routes = vec![Route { attempts: 3, ..route("/a/", Idempotency::Idempotent, target) }];
    let relay = relay(routes, upstreams);
    count_served(&relay, 100).await
}

#[tokio::test]
async fn two_failing_searchers_do_not_confirm_each_other() {
    let (with_500, with_404) = (served("500 Failed").await, served("404 Missing").await);
    println!("served of 100: with 500 {with_500}, with 404 {with_404}");
    assert!(with_404 >= with_500, "500: {with_500}, 404: {with_404}");
}
