//! `hyssopctl certs`: the certificates are valid for both directions of a connection.

mod scratch;

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use rstest::rstest;
use scratch::{Scratch, any};
use wire::frame::{Command, Frame};
use wire::{link, tls};

fn pair(folder: &Path, vm: &str) -> tls::Config {
    let file = |extension: &str| folder.join(format!("{vm}.{extension}"));
    tls::load(&folder.join("ca.pem"), &file("pem"), &file("key")).unwrap()
}

/// Sends one request from `client` to `server`, whose name is expected to be `name`.
async fn send_request(
    server: &tls::Config,
    name: &str,
    client: &tls::Config,
) -> Result<Frame, link::Error> {
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
    let scratch = Scratch::new("certs-two");
    assert_eq!(scratch.run(&["certs", "--out", "c", "--vm", "entry-1"]).await.code, 0);
    let authority = scratch.read("c/ca.pem");
    let run = scratch.run(&["certs", "--out", "c", "--vm", "entry-1", "gpu-1"]).await;
    assert!(run.out.contains("entry-1: kept") && run.out.contains("gpu-1: made"), "{run:?}");
    assert_eq!(scratch.read("c/ca.pem"), authority);

    let folder = scratch.0.join("c");
    let (entry, gpu) = (pair(&folder, "entry-1"), pair(&folder, "gpu-1"));
    assert_eq!(send_request(&entry, "entry-1", &gpu).await.unwrap(), Frame::Ok);
    assert_eq!(send_request(&gpu, "gpu-1", &entry).await.unwrap(), Frame::Ok);
    assert!(send_request(&gpu, "gpu-2", &entry).await.is_err(), "another VM's name was trusted");
}

// An attacker makes an authority of its own and tries to join the fleet.
#[tokio::test]
async fn a_certificate_of_another_authority_is_not_trusted() {
    let scratch = Scratch::new("certs-other");
    for folder in ["a", "b"] {
        assert_eq!(scratch.run(&["certs", "--out", folder, "--vm", "gpu-1"]).await.code, 0);
    }
    let (own, other) = (pair(&scratch.0.join("a"), "gpu-1"), pair(&scratch.0.join("b"), "gpu-1"));
    assert!(send_request(&own, "gpu-1", &other).await.is_err());
}

#[tokio::test]
async fn keys_are_readable_by_their_owner_only_and_renewed_on_request() {
    let scratch = Scratch::new("certs-mode");
    scratch.run(&["certs", "--out", "c", "--vm", "gpu-1"]).await;
    let old = scratch.read("c/gpu-1.key");
    let run = scratch.run(&["certs", "--out", "c", "--vm", "gpu-1", "--renew"]).await;
    assert_eq!(run.code, 0);
    assert_ne!(scratch.read("c/gpu-1.key"), old);
    for key in ["c/ca.key", "c/gpu-1.key"] {
        let mode = std::fs::metadata(scratch.0.join(key)).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{key}");
    }
}

#[rstest]
#[case("ca")]
#[case("../x")]
#[case("GPU")]
#[tokio::test]
async fn an_invalid_vm_name_is_refused(#[case] name: &str) {
    let scratch = Scratch::new(&format!("certs-name-{}", name.len()));
    let run = scratch.run(&["certs", "--out", "c", "--vm", name]).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(!scratch.0.join("c").exists());
}

// The authority's key is stored elsewhere and was not copied back. A new key beside the old
// certificate would sign certificates that no VM trusts, noticed only when connections fail.
#[tokio::test]
async fn an_authority_without_its_key_is_refused() {
    let scratch = Scratch::new("certs-half");
    scratch.run(&["certs", "--out", "c", "--vm", "gpu-1"]).await;
    std::fs::remove_file(scratch.0.join("c/ca.key")).unwrap();
    let run = scratch.run(&["certs", "--out", "c", "--vm", "gpu-2"]).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(!scratch.0.join("c/gpu-2.pem").exists());
}
