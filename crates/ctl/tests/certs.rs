//! `hyssopctl certs`: the certificates do for links in both directions.

mod work;

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use rstest::rstest;
use wire::frame::{Command, Frame};
use wire::{link, tls};
use work::{Work, any};

fn pair(folder: &Path, vm: &str) -> tls::Config {
    let file = |ending: &str| folder.join(format!("{vm}.{ending}"));
    tls::load(&folder.join("ca.pem"), &file("pem"), &file("key")).unwrap()
}

/// One question from `client` to `server`, which is known as `name`.
async fn ask(server: &tls::Config, name: &str, client: &tls::Config) -> Result<Frame, link::Error> {
    let server = link::bind(any(), server).unwrap();
    let address = server.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let connection = server.accept().await.unwrap().await?;
        let mut stream = link::accept(&connection).await.unwrap();
        stream.expect::<Command>().await.unwrap();
        stream.send(&Frame::Ok).await.unwrap();
        connection.closed().await;
        Ok::<(), quinn::ConnectionError>(())
    });
    let client = link::client(any(), client)?;
    let connection = link::connect(&client, name, &address).await?;
    let mut stream = link::open(&connection, name, &Command::Status).await?;
    stream.expect().await
}

#[tokio::test]
async fn certificates_of_two_runs_trust_each_other() {
    let work = Work::new("certs-two");
    assert_eq!(work.run(&["certs", "--out", "c", "--vm", "entry-1"]).await.code, 0);
    let authority = work.read("c/ca.pem");
    let run = work.run(&["certs", "--out", "c", "--vm", "entry-1", "gpu-1"]).await;
    assert!(run.out.contains("entry-1: kept") && run.out.contains("gpu-1: made"), "{run:?}");
    assert_eq!(work.read("c/ca.pem"), authority);

    let folder = work.0.join("c");
    let (entry, gpu) = (pair(&folder, "entry-1"), pair(&folder, "gpu-1"));
    assert_eq!(ask(&entry, "entry-1", &gpu).await.unwrap(), Frame::Ok);
    assert_eq!(ask(&gpu, "gpu-1", &entry).await.unwrap(), Frame::Ok);
    assert!(ask(&gpu, "gpu-2", &entry).await.is_err(), "another VM's name was trusted");
}

// Somebody makes an authority of their own and tries to join the fleet.
#[tokio::test]
async fn a_certificate_of_another_authority_is_not_trusted() {
    let work = Work::new("certs-other");
    for folder in ["a", "b"] {
        assert_eq!(work.run(&["certs", "--out", folder, "--vm", "gpu-1"]).await.code, 0);
    }
    let (own, other) = (pair(&work.0.join("a"), "gpu-1"), pair(&work.0.join("b"), "gpu-1"));
    assert!(ask(&own, "gpu-1", &other).await.is_err());
}

#[tokio::test]
async fn keys_are_for_their_owner_only_and_renewed_on_request() {
    let work = Work::new("certs-mode");
    work.run(&["certs", "--out", "c", "--vm", "gpu-1"]).await;
    let old = work.read("c/gpu-1.key");
    let run = work.run(&["certs", "--out", "c", "--vm", "gpu-1", "--renew"]).await;
    assert_eq!(run.code, 0);
    assert_ne!(work.read("c/gpu-1.key"), old);
    for key in ["c/ca.key", "c/gpu-1.key"] {
        let mode = std::fs::metadata(work.0.join(key)).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{key}");
    }
}

#[rstest]
#[case("ca")]
#[case("../x")]
#[case("GPU")]
#[tokio::test]
async fn a_name_that_can_not_be_a_vm_is_refused(#[case] name: &str) {
    let work = Work::new(&format!("certs-name-{}", name.len()));
    let run = work.run(&["certs", "--out", "c", "--vm", name]).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(!work.0.join("c").exists());
}

// The authority's key is kept elsewhere and was not copied back. A new one beside the old
// certificate would make files that no VM trusts, found out only when links fail.
#[tokio::test]
async fn half_an_authority_is_refused() {
    let work = Work::new("certs-half");
    work.run(&["certs", "--out", "c", "--vm", "gpu-1"]).await;
    std::fs::remove_file(work.0.join("c/ca.key")).unwrap();
    let run = work.run(&["certs", "--out", "c", "--vm", "gpu-2"]).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(!work.0.join("c/gpu-2.pem").exists());
}
