//! Trace tests of the version catalog and of the merge.

use std::error::Error;
use std::path::Path;

use bergamot_base::{Entity, Name, Service, Shard};
use bergamot_filetest::{check, trace};
use bergamot_query::{Catalog, Hit, Merge, Partial, Pin, Reason, Shape};

fn catalog(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut catalog = Catalog::default();
        trace(input, |_now, command| catalog_step(&mut catalog, command))
    })
}

fn catalog_step(catalog: &mut Catalog, command: &[&str]) -> String {
    match command {
        ["learn", shard, versions] => {
            let versions = versions.split(',').filter_map(|version| version.parse().ok());
            catalog.set_versions(self::shard(shard), versions);
            format!("{:?}", catalog.common_by_service(|_| Service::from_index(0)))
        }
        ["newest", shards] => format!("{:?}", catalog.newest_common(&self::shards(shards))),
        ["best", shards] => format!("{:?}", catalog.best_version(&self::shards(shards))),
        _ => "unknown command".to_owned(),
    }
}

fn merge(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let pin = Pin { revision: 1, epoch: 1, version: 5 };
        let shape = Shape::Top { k: 3 };
        let asked = (0..3).map(|i| (Shard::from_index(i), i));
        let mut merge = Some(Merge::new(pin, 3, asked));
        trace(input, |_now, command| match command {
            ["finish"] => merge.take().map_or("finished".to_owned(), |merge| {
                let outcome = merge.finish(&shape);
                let keys: Vec<_> = outcome.hits.iter().map(|hit| &*hit.key).collect();
                format!("{keys:?} {:?}", outcome.coverage)
            }),
            _ => merge
                .as_mut()
                .map_or("finished".to_owned(), |merge| merge_step(merge, pin, command)),
        })
    })
}

fn merge_step(merge: &mut Merge, pin: Pin, command: &[&str]) -> String {
    match command {
        ["offer", shard, version, epoch, ranks @ ..] => {
            let number = |text: &str| text.parse::<u64>().unwrap_or(0);
            let hit = |rank: &&str| Hit {
                key: Name::from(format!("s{shard}r{rank}")),
                rank: number(rank),
                body: Name::from("body"),
            };
            let partial = Partial {
                shard: self::shard(shard),
                pin: Pin { version: number(version), epoch: number(epoch), ..pin },
                documents: 10,
                hits: ranks.iter().map(hit).collect(),
            };
            format!("{:?} open {:?}", merge.offer(partial), merge.pending())
        }
        ["miss", shard] => {
            merge.mark_missing(self::shard(shard), Reason::Busy);
            format!("open {:?}", merge.pending())
        }
        _ => "unknown command".to_owned(),
    }
}

fn shard(word: &str) -> Shard {
    Shard::from_index(word.parse().unwrap_or(usize::MAX >> 33))
}

fn shards(word: &str) -> Vec<Shard> {
    word.split(',').map(shard).collect()
}

datatest_stable::harness! {
    { test = catalog, root = "tests/filetests/catalog", pattern = r"\.txt$" },
    { test = merge, root = "tests/filetests/merge", pattern = r"\.txt$" },
}
