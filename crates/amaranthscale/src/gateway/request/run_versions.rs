//! The software versions whose engines may run a request.
//!
//! A new stream may begin at any version in use. One that its caller takes up goes on at the version
//! that began it: the one that this gateway or another one has recorded, or the only one that the
//! store shows.

use std::pin::pin;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{CallId, SoftwareVersion};
use amaranthscale_core::process::{StreamOrigin, VersionBinding};
use log::info;

use super::super::process::VersionsInUse;
use super::engine_run::EngineRun;
use super::refusal::Refusal;

/// The version at which a stream began, and what shows it.
#[derive(Debug)]
struct FoundVersion {
    version: Option<SoftwareVersion>,
    source: &'static str,
}

/// Time for the store to confirm the only version before other gateways are asked too.
const CONFIRMATION_LEAD: Duration = Duration::from_millis(50);

impl EngineRun {
    /// Sets the software versions whose engines may run the request.
    ///
    /// A stream that its caller takes up goes on at the version that began it, and is refused where
    /// that is not known.
    pub(super) async fn bind_version(&mut self) -> Result<(), Refusal> {
        let Some(resumption) = self.admitted.attributes.resumption.clone() else {
            if self.admitted.route.kind.may_repeat() {
                self.admitted.versions = self.context.versions.beginning(&self.service).await;
            }
            return Ok(());
        };
        let first_call = resumption.first_call.as_ref();
        let name = first_call.map_or("-", |call| call.as_str());
        let after = self
            .outgoing
            .header(&self.context.dialect.headers.last_event);
        self.context.counters.count("stream.taken-up");
        info!(
            call = self.admitted.attributes.call.as_str(), first_call = name,
            event = after.unwrap_or("-");
            "stream: taken up"
        );
        let Some(FoundVersion { version, source }) = self.find_version(first_call).await else {
            return Err(self.refuse_resumption(ResultCode::StreamOriginUnknown, name, None));
        };
        info!(
            call = self.admitted.attributes.call.as_str(), first_call = name,
            version = version_name(version.as_ref()), source;
            "stream: version found"
        );
        let servers = self.context.cluster_view.servers();
        let mut of_service = servers.not_leaving(&self.service);
        if !of_service.any(|server| server.software_version == version) {
            let code = ResultCode::StreamVersionGone;
            return Err(self.refuse_resumption(code, name, version.as_ref()));
        }
        self.admitted.versions = VersionBinding::only(version);
        Ok(())
    }

    /// The version at which a stream of this service began, if that is known, and what shows it.
    ///
    /// A record of the stream itself goes before the versions in use. Other gateways are asked for one
    /// where the store shows several versions or does not answer soon, and at last the store, which has
    /// the records of gateways that were lost.
    async fn find_version(&self, first_call: Option<&CallId>) -> Option<FoundVersion> {
        let key = first_call.map(|first_call| self.admitted.stream_key(first_call));
        if let Some(origin) = key.as_ref().and_then(|key| self.context.own_origin(key)) {
            return self.found(origin, "own-record");
        }
        let mut confirming = pin!(self.context.versions.confirm_versions(&self.service));
        let early = tokio::time::timeout(CONFIRMATION_LEAD, &mut confirming).await;
        let mut versions = early.ok();
        let mut asking = pin!(async { self.context.ask_for_origin(key.as_ref()?).await });
        let mut is_asked = false;
        loop {
            match &versions {
                Some(VersionsInUse::Only(version)) => {
                    let version = version.clone();
                    return Some(FoundVersion {
                        version,
                        source: "store",
                    });
                }
                Some(_) if is_asked => break,
                _ => {}
            }
            tokio::select! {
                confirmed = &mut confirming, if versions.is_none() => versions = Some(confirmed),
                origin = &mut asking, if !is_asked => {
                    is_asked = true;
                    if let Some(origin) = origin {
                        return self.found(origin, "other-gateway");
                    }
                }
            }
        }
        if versions == Some(VersionsInUse::Unknown) {
            return None;
        }
        let origin = self.context.find_saved_origin(key.as_ref()?).await?;
        self.found(origin, "saved-record")
    }

    fn found(&self, origin: StreamOrigin, source: &'static str) -> Option<FoundVersion> {
        let version = origin.version;
        (origin.service == self.service).then_some(FoundVersion { version, source })
    }

    fn refuse_resumption(
        &self,
        code: ResultCode,
        first_call: &str,
        version: Option<&SoftwareVersion>,
    ) -> Refusal {
        let known = self.context.versions.known(&self.service);
        let known = known.iter().map(|known| version_name(known.as_ref()));
        let known: Vec<_> = known.collect();
        info!(
            call = self.admitted.attributes.call.as_str(), first_call, reason = code.name(),
            version = version_name(version), versions = known.join(",").as_str();
            "stream: not continued"
        );
        Refusal::new(code)
    }
}

/// Name of a software version in log lines.
pub(super) fn version_name(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", SoftwareVersion::as_str)
}
