//! Connections between processes, with and without certificates of the fleet.

use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use wire::frame::{Command, Frame};
use wire::{link, tls};

struct Fleet {
    folder: PathBuf,
    authority: (CertificateParams, KeyPair),
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let folder =
            std::env::temp_dir().join(format!("hyssop-link-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let cert = params.self_signed(&key).unwrap();
        std::fs::write(folder.join("ca.pem"), cert.pem()).unwrap();
        Fleet { folder, authority: (params, key) }
    }

    fn pair(&self, vm: &str) -> tls::Config {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![vm.to_string()]).unwrap();
        let issuer = Issuer::from_params(&self.authority.0, &self.authority.1);
        let cert = params.signed_by(&key, &issuer).unwrap();
        let file = |end: &str| self.folder.join(format!("{vm}.{end}"));
        std::fs::write(file("pem"), cert.pem()).unwrap();
        std::fs::write(file("key"), key.serialize_pem()).unwrap();
        load(&self.folder.join("ca.pem"), &file("pem"), &file("key"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn load(authority: &Path, certificate: &Path, key: &Path) -> tls::Config {
    tls::load(authority, certificate, key).unwrap()
}

fn serve(pair: &tls::Config) -> (quinn::Endpoint, String) {
    let endpoint = link::bind("127.0.0.1:0".parse().unwrap(), pair).unwrap();
    let address = endpoint.local_addr().unwrap().to_string();
    let served = endpoint.clone();
    tokio::spawn(async move {
        while let Some(incoming) = served.accept().await {
            let Ok(connection) = incoming.await else { continue };
            while let Some(mut stream) = link::accept(&connection).await {
                if stream.expect::<Command>().await.is_ok() {
                    let _ = stream.send(&Frame::Ok).await;
                    stream.finish();
                }
            }
        }
    });
    (endpoint, address)
}

#[tokio::test]
async fn a_peer_of_the_fleet_is_answered() {
    let fleet = Fleet::new("own");
    let (_server, address) = serve(&fleet.pair("gpu-1"));
    let client = link::client("127.0.0.1:0".parse().unwrap(), &fleet.pair("entry-1")).unwrap();
    let connection = link::connect(&client, "gpu-1", &address).await.unwrap();
    let mut stream = link::open(&connection, "gpu-1", &Command::Status).await.unwrap();
    assert_eq!(stream.expect::<Frame>().await.unwrap(), Frame::Ok);
}

/// A host on the network without a certificate of the fleet connects to an agent or impersonates
/// one. It would get callers' prompts and could send orders.
#[tokio::test]
async fn a_peer_of_another_fleet_is_refused() {
    let (fleet, other) = (Fleet::new("ours"), Fleet::new("theirs"));
    let (_server, address) = serve(&fleet.pair("gpu-1"));
    let stranger = link::client("127.0.0.1:0".parse().unwrap(), &other.pair("entry-1")).unwrap();
    assert!(link::connect(&stranger, "gpu-1", &address).await.is_err());
}

/// A VM's address is assigned to another VM while a router still has the old list. Requests for
/// the first VM must not reach the second.
#[tokio::test]
async fn a_vm_with_another_name_is_refused() {
    let fleet = Fleet::new("name");
    let (_server, address) = serve(&fleet.pair("gpu-2"));
    let client = link::client("127.0.0.1:0".parse().unwrap(), &fleet.pair("entry-1")).unwrap();
    assert!(link::connect(&client, "gpu-1", &address).await.is_err());
}
