//! The software versions whose engines may run a request.
//!
//! A new stream may begin at any version in use. One that its caller takes up goes on at the version
//! that began it, which this gateway or another one has recorded.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{CallId, SoftwareVersion};
use amaranthscale_core::process::VersionBinding;
use log::info;

use super::engine_run::EngineRun;
use super::refusal::Refusal;

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
        let only_version = self.context.versions.only_version(&self.service);
        let version = match (only_version, first_call) {
            (Some(version), _) => Some(version),
            (None, Some(first_call)) => self.find_version(first_call).await,
            (None, None) => None,
        };
        let Some(version) = version else {
            return Err(self.refuse_resumption(ResultCode::StreamOriginUnknown, name, None));
        };
        let servers = self.context.cluster_view.servers();
        let mut of_service = servers.not_leaving(&self.service);
        if !of_service.any(|server| server.software_version == version) {
            let code = ResultCode::StreamVersionGone;
            return Err(self.refuse_resumption(code, name, version.as_ref()));
        }
        self.admitted.versions = VersionBinding::only(version);
        Ok(())
    }

    /// The version at which a stream of this service began, if that is known.
    async fn find_version(&self, first_call: &CallId) -> Option<Option<SoftwareVersion>> {
        let key = self.admitted.stream_key(first_call);
        let origin = self.context.find_origin(&key).await?;
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

/// Name of a software version in log lines.
pub(super) fn version_name(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", SoftwareVersion::as_str)
}
