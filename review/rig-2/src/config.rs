//! The operator's configuration.

/// Returns a configuration with routes for streams and plain calls, two services, and a tenant that
/// holds these keys, each in quotes.
pub fn text(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-tone","host":"ficu95.example","pathPrefix":"/tone/","routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"engines","maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,"targetItlMs":180}},
{{"name":"r-draft","host":"ficu95.example","pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"engines","maxAttempts":1,"anonymous":false,"sessionAffinity":true,"streamResume":false,"targetItlMs":180}},
{{"name":"r-order","host":"ficu95.example","pathPrefix":"/order/","routeKind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"anonymous":false}},
{{"name":"r-status","host":"ficu95.example","pathPrefix":"/status/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"anonymous":false}}
],"services":[
{{"name":"engines","healthPath":"/healthz","maxConnections":342,"protocol":"h1","tlsEnabled":false,"runtime":{{"slotCount":4,"kvCapacity":26851,"kvTokenBytes":262144,"linkMbps":38000.0,"migrations":true,"replicas":true,"stepSize":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"modelList":[{{"name":"m"}}]}}}},
{{"name":"desk","healthPath":"/healthz","maxConnections":200,"protocol":"h1","tlsEnabled":false}}
],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"tenant-a","apiKeys":[{keys}]}}]}}"#
    )
}
