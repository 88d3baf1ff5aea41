import {queueHost} from './client.js';

/**
Creates a manifest as the operator writes it to `op/config`.

@param routes - Rows of `name`, `prefix` and `service`.
@param services - Names of the services; `spare` is the one whose machines are off, if there is one.
*/
export function createManifest({version, routes, services, spare, isGuarding = true}) {
	return {
		Version: version,
		Routes: routes.map(({name, prefix, service}) => ({
			Name: name, Host: queueHost, Prefix: prefix, Service: service, RouteType: 'unsafe', TimeoutMs: 3000, TargetLatencyMs: 600, Priority: 0, Attempts: 4, Stretch: 1.6,
		})),
		Services: services.map(name => ({
			Name: name, HealthPath: '/healthz', MaxConnections: 64, Protocol: 'h1', Tls: false, AdmissionCheck: isGuarding, Spare: name === spare,
		})),
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
	};
}
