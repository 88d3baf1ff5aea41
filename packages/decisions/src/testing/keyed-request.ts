import {type EntryId, type RequestResult} from '@pistachiogauge/model';
import {type VirtualCluster} from './virtual-cluster.js';

/** Options of a request with an idempotency key. */
export type KeyedRequest = {
	readonly service?: string;
	readonly body?: string;
	readonly timeLeftMs?: number;
	/** Offset of the key's issue time from virtual time. */
	readonly issuedMs?: number;
};

/** Creates a UUIDv7 with the given issue time; `salt` distinguishes keys of the same time. */
export function createKey(issuedAt: number, salt: number): string {
	const time = issuedAt.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(salt).padStart(12, '0')}`;
}

/** Sends a non-idempotent request to an entry. */
export function sendKeyedRequest(cluster: VirtualCluster, receiver: EntryId, requestId: string, key: string, options: KeyedRequest = {}): void {
	const {service = 'badge', body = 'print', timeLeftMs = 8000} = options;
	cluster.pushEvent(receiver, {
		kind: 'request-received',
		request: {
			requestId, service, method: 'POST', path: '/', headers: [], body: new TextEncoder().encode(body), mode: 'direct', requestClass: 'normal', team: '', isIdempotent: false, key, timeLeftMs,
		},
	});
}

/** Returns the result of a request as `outcome reason`, or undefined while there is none; throws if there are several. */
export function getOutcome(cluster: VirtualCluster, requestId: string): string | undefined {
	const results = cluster.results.get(requestId) ?? [];
	if (results.length > 1) {
		throw new Error(`${requestId} was answered ${results.length} times`);
	}

	const [result] = results as [RequestResult?];
	return result === undefined ? undefined : [result.outcome, result.reason].filter(Boolean).join(' ');
}

/** Throws if a key was sent twice or a request that was sent is reported as not run. */
export function checkAtMostOnce(cluster: VirtualCluster): void {
	const keys = new Set<string>();
	for (const {request} of cluster.sends) {
		if (keys.has(request.key!)) {
			throw new Error(`${request.key} was sent twice, last for ${request.requestId}`);
		}

		keys.add(request.key!);
		const [result] = cluster.results.get(request.requestId) ?? [];
		if (result?.outcome === 'not-run') {
			throw new Error(`${request.requestId} was sent and answered not-run ${result.reason}`);
		}
	}
}
