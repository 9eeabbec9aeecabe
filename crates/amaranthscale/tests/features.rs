//! Names and defaults of the gateway's features.

use amaranthscale::gateway::{Feature, FeatureSet};

#[test]
fn each_feature_is_read_by_its_own_name() {
    for feature in Feature::ALL {
        assert_eq!(feature.to_string().parse(), Ok(feature));
    }
}

#[test]
fn an_unknown_feature_is_an_error_that_lists_the_known_ones() {
    let error = "engine-sped".parse::<Feature>().unwrap_err().to_string();

    assert!(error.contains("\"engine-sped\""), "{error}");
    assert!(error.contains("engine-speed"), "{error}");
}

/// Deployments that do not ask for these are served as before them.
#[test]
fn admission_by_forecast_and_urgency_classes_have_to_be_enabled() {
    let features = FeatureSet::default();

    assert!(!features.is_enabled(Feature::AdmissionForecast));
    assert!(!features.is_enabled(Feature::EngineUrgency));
    assert!(features.is_enabled(Feature::EngineSpeed));
    assert!(
        features
            .with([Feature::AdmissionForecast])
            .is_enabled(Feature::AdmissionForecast)
    );
}
