//! Makes the certificates of the fleet.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose,
};

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};

/// Subject of the authority. It must not change: an existing authority is identified by it.
const AUTHORITY_SUBJECT: &str = "hyssoppass fleet authority";

/// Stem of the names of the authority's files; not allowed as a VM's name.
const AUTHORITY_STEM: &str = "ca";

const PUBLIC_MODE: u32 = 0o644;
const SECRET_MODE: u32 = 0o600;

/// Make certificates for VMs, and the fleet's authority when there is none.
///
/// Writes ca.pem and ca.key (kept when they exist), and NAME.pem and NAME.key for each VM.
/// A certificate contains the VM's name and is valid for both directions of a connection. Don't
/// store ca.key on the VMs: with it anyone can join the fleet. Existing files are kept.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example:\n  hyssopctl certs --out certs --vm entry-1 --vm gpu-1 --vm operator"
)]
pub struct Args {
    /// Folder for the files; created if it does not exist.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Name of a VM or an operator; a DNS label.
    #[arg(long = "vm", required = true, num_args = 1.., value_name = "NAME")]
    vms: Vec<String>,
    /// Replace existing certificates and keys; the authority is kept.
    #[arg(long)]
    renew: bool,
}

/// Makes or reads the authority, then makes a certificate for each VM.
pub fn run(common: &Common, args: Args) -> Result<Report, Error> {
    for vm in &args.vms {
        check_name(vm)?;
    }
    fs::create_dir_all(&args.out).map_err(|e| failed("make folder", &args.out, e))?;
    let issuer = authority(&args.out)?;
    let mut made = vec![];
    for vm in &args.vms {
        let (pem, key) = file_paths(&args.out, vm);
        if args.renew || !pem.exists() || !key.exists() {
            issue(&issuer, vm, &pem, &key)?;
            made.push(vm);
        }
    }
    Ok(report::ok(match common.json {
        true => report::json(&made),
        false => args.vms.iter().map(|vm| line(vm, made.contains(&vm))).collect(),
    }))
}

fn line(vm: &str, made: bool) -> String {
    let action = if made { "made" } else { "kept, it exists (--renew replaces it)" };
    format!("{vm}: {action}\n")
}

fn check_name(vm: &str) -> Result<(), Error> {
    match config::unit::is_label(vm) && vm != AUTHORITY_STEM {
        true => Ok(()),
        false => Err(Error::Usage(format!(
            "'{vm}' is not a valid VM name: use lower-case letters, digits and hyphens, \
             and not '{AUTHORITY_STEM}'"
        ))),
    }
}

/// Reads the authority, or makes it. An authority without its certificate or key is an error: a
/// new key beside the old certificate would sign certificates that no VM trusts.
fn authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let (pem, key) = file_paths(folder, AUTHORITY_STEM);
    match (pem.exists(), key.exists()) {
        (true, true) => {
            let text = fs::read_to_string(&key).map_err(|e| failed("read", &key, e))?;
            let pair = KeyPair::from_pem(&text).map_err(|e| failed("read key", &key, e))?;
            Ok(Issuer::new(authority_params(), pair))
        }
        (false, false) => {
            let pair = KeyPair::generate().map_err(|e| failed("make key", &key, e))?;
            let secret = pair.serialize_pem();
            let made = CertifiedIssuer::self_signed(authority_params(), pair)
                .map_err(|e| failed("sign", &pem, e))?;
            write(&key, &secret, SECRET_MODE)?;
            write(&pem, &made.pem(), PUBLIC_MODE)?;
            authority(folder)
        }
        _ => Err(Error::Usage(format!(
            "{} has only one of ca.pem and ca.key; the authority needs both",
            folder.display()
        ))),
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_SUBJECT);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

fn issue(issuer: &Issuer<KeyPair>, vm: &str, pem: &Path, key: &Path) -> Result<(), Error> {
    let pair = KeyPair::generate().map_err(|e| failed("make key", key, e))?;
    let mut params =
        CertificateParams::new(vec![vm.to_string()]).map_err(|e| failed("name", pem, e))?;
    params.distinguished_name = DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, vm);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    let made = params.signed_by(&pair, issuer).map_err(|e| failed("sign", pem, e))?;
    write(key, &pair.serialize_pem(), SECRET_MODE)?;
    write(pem, &made.pem(), PUBLIC_MODE)
}

/// Writes a temporary file and renames it, so that a file is never partially written and a key
/// is never readable by others, not even for a moment.
fn write(path: &Path, text: &str, mode: u32) -> Result<(), Error> {
    let temporary = path.with_extension("part");
    let _ = fs::remove_file(&temporary);
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&temporary)
        .map_err(|e| failed("write", &temporary, e))?;
    file.write_all(text.as_bytes()).map_err(|e| failed("write", &temporary, e))?;
    fs::rename(&temporary, path).map_err(|e| failed("rename", path, e))
}

fn file_paths(folder: &Path, stem: &str) -> (PathBuf, PathBuf) {
    (folder.join(format!("{stem}.pem")), folder.join(format!("{stem}.key")))
}

fn failed(step: &str, path: &Path, e: impl std::fmt::Display) -> Error {
    Error::Usage(format!("certificate step '{step}', {}: {e}", path.display()))
}
