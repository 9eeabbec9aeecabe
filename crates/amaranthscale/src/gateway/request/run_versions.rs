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

use super::engine_run::EngineRun;
use super::refusal::Refusal;

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
        let Some((version, source)) = self.find_version(first_call).await else {
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
    /// where the store shows several versions or does not answer soon.
    async fn find_version(
        &self,
        first_call: Option<&CallId>,
    ) -> Option<(Option<SoftwareVersion>, &'static str)> {
        let key = first_call.map(|first_call| self.admitted.stream_key(first_call));
        if let Some(origin) = key.as_ref().and_then(|key| self.context.own_origin(key)) {
            return Some((self.version_of(origin)?, "own-record"));
        }
        let confirming = self.context.versions.confirm_only_version(&self.service);
        let mut confirming = pin!(confirming);
        let confirmed = tokio::time::timeout(CONFIRMATION_LEAD, &mut confirming).await;
        let is_confirming = confirmed.is_err();
        if let Ok(Some(version)) = confirmed {
            return Some((version, "store"));
        }
        let asking = async {
            let origin = self.context.ask_for_origin(key.as_ref()?).await?;
            Some((self.version_of(origin)?, "other-gateway"))
        };
        let confirming = async {
            let version = if is_confirming {
                confirming.await
            } else {
                None
            };
            Some((version?, "store"))
        };
        first_found(asking, confirming).await
    }

    fn version_of(&self, origin: StreamOrigin) -> Option<Option<SoftwareVersion>> {
        (origin.service == self.service).then_some(origin.version)
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

/// The result of the first of two searches that finds something.
async fn first_found<T>(
    one: impl Future<Output = Option<T>>,
    other: impl Future<Output = Option<T>>,
) -> Option<T> {
    let (mut one, mut other) = (pin!(one), pin!(other));
    tokio::select! {
        found = &mut one => match found {
            Some(found) => Some(found),
            None => other.await,
        },
        found = &mut other => match found {
            Some(found) => Some(found),
            None => one.await,
        },
    }
}

/// Name of a software version in log lines.
pub(super) fn version_name(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", SoftwareVersion::as_str)
}
