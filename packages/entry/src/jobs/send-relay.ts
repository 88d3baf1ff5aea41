import {type JobEffectOf, type Member, type RelayResult} from '@pistachiogauge/jobs';
import {CallNotSentError, type HttpClient} from '@pistachiogauge/platform';
import {
	decodeRelayAnswer, relayPath, relaySecretHeader, type RelayMessage,
} from './relay-messages.js';

/** Statuses with which a peer says that it has done nothing; 404 comes from one of an earlier version. */
const notTakenStatuses: ReadonlySet<number> = new Set([400, 403, 404, 413, 503]);

type RelaySender = {
	readonly http: HttpClient;
	/** Name of this entry. */
	readonly node: string;
	readonly findMember: (node: string) => Member | undefined;
};

/** Sends a caller's request to a peer and waits for its answer. @internal */
export async function sendRelay({http, node, findMember}: RelaySender, effect: JobEffectOf<'relay-request'>): Promise<RelayResult> {
	const peer = findMember(effect.node)?.peerServer;
	if (peer === undefined) {
		return {kind: 'unavailable'};
	}

	const message: RelayMessage = {requestId: effect.requestId, node, request: effect.request};
	try {
		const {status, body} = await http.sendRequest({
			address: peer.address, method: 'POST', path: relayPath, headers: {[relaySecretHeader]: peer.secret}, body: message, timeoutMs: effect.timeoutMs,
		});
		if (notTakenStatuses.has(status)) {
			return {kind: 'unavailable'};
		}

		const answer = status === 200 ? decodeRelayAnswer(body) : undefined;
		return answer === undefined ? {kind: 'silent'} : {kind: 'answered', answer};
	} catch (error) {
		return {kind: error instanceof CallNotSentError ? 'unavailable' : 'silent'};
	}
}
