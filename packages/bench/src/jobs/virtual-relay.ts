import {
	findQueue, type CallerAnswer, type CallerOrigin, type Configuration, type JobEffectOf, type RelayResult,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualNetwork} from './virtual-network.js';

/** Requests that entries relay to each other, as over their peer servers. */
export type VirtualRelay = {
	send(entry: VirtualJobsEntry, effect: JobEffectOf<'relay-request'>): void;
	/** Returns the answer to the entry that relayed the request; `false` if it is a caller's own. */
	answerRequest(peer: VirtualJobsEntry, requestId: string, answer: CallerAnswer): boolean;
};

export type VirtualRelayTools = {
	readonly queue: EventQueue;
	readonly network: VirtualNetwork;
	readonly delivery: EventDelivery;
	readonly chooseDelayMs: () => number;
	readonly findEntry: (node: string) => VirtualJobsEntry | undefined;
};

/** Time for which callers wait. */
const callerWaitMs = 3000;

/** Creates what is needed to relay a caller's request that arrives now; undefined if the queue does not exist. */
export function createOrigin({queues}: Configuration, queueName: string, jobId: string, now: number): CallerOrigin | undefined {
	const queue = queues.find(({name}) => name === queueName);
	return queue === undefined ? undefined : {host: queue.host, path: `${queue.prefix}${jobId}`, answerBy: now + callerWaitMs};
}

export function createVirtualRelay({
	queue, network, delivery, chooseDelayMs, findEntry,
}: VirtualRelayTools): VirtualRelay {
	const openRequests = new Map<string, (result: RelayResult) => void>();

	function getKey({incarnation}: VirtualJobsEntry, requestId: string): string {
		return `${incarnation} ${requestId}`;
	}

	/** Handles a relayed request in the peer's process; one that is not ready has done nothing. */
	function receiveRequest(peer: VirtualJobsEntry, {requestId, request: {action, host, path, spec, keyHash}}: JobEffectOf<'relay-request'>, reply: (result: RelayResult) => void): void {
		const {configuration: {current}, intake, authority} = peer.state;
		if (current === undefined || !intake.isStoreReached || authority.isStopping) {
			reply({kind: 'unavailable'});
			return;
		}

		const match = findQueue(current, host, path);
		openRequests.set(getKey(peer, requestId), reply);
		delivery.deliver(peer, {
			kind: 'caller-requested', requestId, action, queue: match?.queue.name ?? '', jobId: match?.remainingPath ?? '', spec, keyHash,
		});
	}

	return {
		send(entry, effect) {
			const {requestId, node, timeoutMs} = effect;
			const {incarnation} = entry;
			const knownIncarnation = entry.state.authority.members.get(node)?.incarnation;
			let isFinished = false;
			const finish = (result: RelayResult): void => {
				if (!isFinished) {
					isFinished = true;
					delivery.deliver(entry, {
						kind: 'relay-answered', requestId, node, result,
					}, incarnation);
				}
			};

			const reply = (result: RelayResult): void => {
				queue.add(chooseDelayMs(), () => {
					if (network.canDeliver(node, entry.node)) {
						finish(result);
					}
				});
			};

			queue.add(timeoutMs, () => {
				finish({kind: 'silent'});
			});
			queue.add(chooseDelayMs(), () => {
				const peer = findEntry(node);
				if (!network.canDeliver(entry.node, node)) {
					return;
				}

				// A process that has started since does not know the secret.
				if (peer?.isUp !== true || peer.incarnation !== knownIncarnation) {
					reply({kind: 'unavailable'});
					return;
				}

				delivery.runInProcess(peer, () => {
					receiveRequest(peer, effect, reply);
				});
			});
		},
		answerRequest(peer, requestId, answer) {
			const key = getKey(peer, requestId);
			const reply = openRequests.get(key);
			openRequests.delete(key);
			reply?.({kind: 'answered', answer});
			return reply !== undefined;
		},
	};
}
