import {type RandomSource} from '@pistachiogauge/chain';
import {
	type AdvicePolicy, type Endpoint, type JobEffectOf, type JobEvent,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';

type AdviceCall = JobEffectOf<'ask-advice'>;

/** An advice service that handles one call of each entry at a time, according to the platform's page on running tasks. */
export type VirtualAdviceService = {
	/** Share of calls whose answer is lost. */
	lostShare: number;
	/** Whether the policy allows an endpoint to run a step. */
	mayRun(stepId: string, endpointId: string): boolean;
	ask(node: string, call: AdviceCall, answer: (event: JobEvent) => void): void;
	isTicketValid(ticket: string | undefined, taskId: string, endpoint: Endpoint): boolean;
};

/** Policy of the queues that require advice. */
export const virtualAdvicePolicy: AdvicePolicy = {decideMs: 20, eachMs: 1, validMs: 1500};
/** One endpoint in this many may run a step. */
const allowedInterval = 4;
const maxWaitingCalls = 32;
const callTimeoutMs = 2500;

/** Maps a text to a whole number that depends on all of its characters. */
function computeHash(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (const character of text) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01_00_01_93) >>> 0;
	}

	return hash;
}

function getStepId(taskId: string): string {
	return taskId.split('.').slice(0, 3).join('.');
}

/** Creates an advice service; `findEndpoint` returns the process that runs under an id. */
export function createVirtualAdviceService(queue: EventQueue, random: RandomSource, findEndpoint: (id: string) => Endpoint | undefined): VirtualAdviceService {
	const freeAt = new Map<string, number>();
	const waitingCounts = new Map<string, number>();
	const mayRun = (stepId: string, endpointId: string) => computeHash(`${stepId} ${endpointId}`) % allowedInterval === 0;
	const service: VirtualAdviceService = {
		lostShare: 0,
		mayRun,
		ask(node, {pool, stepId, endpointIds}, answer) {
			const failure: JobEvent = {
				kind: 'advice-answered', pool, stepId, endpointIds, tickets: undefined, validMs: 0, isComplete: false,
			};
			let isFinished = false;
			const finish = (event: JobEvent) => {
				if (!isFinished) {
					isFinished = true;
					answer(event);
				}
			};

			queue.add(callTimeoutMs, () => {
				finish(failure);
			});
			const waitingCount = waitingCounts.get(node) ?? 0;
			if (waitingCount >= maxWaitingCalls) {
				queue.add(1, () => {
					finish(failure);
				});
				return;
			}

			waitingCounts.set(node, waitingCount + 1);
			const answersAt = Math.max(queue.now, freeAt.get(node) ?? 0) + virtualAdvicePolicy.decideMs + (virtualAdvicePolicy.eachMs * endpointIds.length);
			freeAt.set(node, answersAt);
			const isLost = random.getFraction() < service.lostShare;
			queue.add(answersAt - queue.now, () => {
				waitingCounts.set(node, waitingCounts.get(node)! - 1);
				const good = endpointIds.filter(id => mayRun(stepId, id) && findEndpoint(id) !== undefined);
				const validUntil = queue.now + virtualAdvicePolicy.validMs;
				if (!isLost) {
					finish({
						kind: 'advice-answered', pool, stepId, endpointIds, tickets: new Map(good.map(id => [id, JSON.stringify([stepId, id, findEndpoint(id)!.startedAt, validUntil])])), validMs: virtualAdvicePolicy.validMs, isComplete: true,
					});
				}
			});
		},
		isTicketValid(ticket, taskId, {id, startedAt}) {
			if (ticket === undefined) {
				return false;
			}

			const [stepId, endpointId, process, validUntil] = JSON.parse(ticket) as [string, string, number, number];
			return stepId === getStepId(taskId) && endpointId === id && process === startedAt && queue.now <= validUntil;
		},
	};
	return service;
}
