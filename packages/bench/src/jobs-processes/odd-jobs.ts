import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {type AdviceTimes, type JobRequest, type StepRequest} from '@pistachiogauge/platform/standins';
import {
	drawBetween, type EndpointPlan, type JobPlan, type RunPlan,
} from './run-plan.js';

/** Queue whose steps may run on some endpoints only, which the advice service knows. */
export const advisedQueue = 'advised-desk';
export const adviceTimes: AdviceTimes = {decideMs: 20, eachMs: 1, validMs: 1500};
/** One endpoint in this many may run a step of that queue. */
const allowedInterval = 4;
const meanIntervalMs = 2500;
const quickCancelMs = 100;
const seedsPerLargePool = 4;
const addedEndpointCount = 40;
const smallStep: StepRequest = {
	taskCount: 1, cpuMillis: 10, memoryMb: 10, estimateMs: 700, after: [], isLongRunning: false, mayDuplicate: false,
};

type OddJobs = {
	readonly queue?: string;
	readonly count: number;
	readonly step: Partial<StepRequest>;
	readonly expectation?: JobRequest['expectation'];
	readonly cancelAfterMs?: number;
};

/** Shapes of load that stop other work of their pool, or hide endpoints, where a search or a call is bounded by their number. */
const shapes: Readonly<Record<string, (random: RandomSource) => OddJobs>> = {
	'absent-label': random => ({count: 10, step: {isLongRunning: random.getInteger(2) === 0, requiredLabel: 'absent'}, expectation: 'nothing'}),
	'too-wide': () => ({count: 8, step: {taskCount: 60, endpointLimit: 1, isLongRunning: true}, expectation: 'some tasks'}),
	'cancelled-early': () => ({count: 2, step: {taskCount: 6, cpuMillis: 800, memoryMb: 400}, cancelAfterMs: quickCancelMs}),
	advised: random => ({queue: advisedQueue, count: 3, step: {isLongRunning: random.getInteger(3) === 0}}),
};

/** Whether the policy of the advised queue allows an endpoint to run a step. */
export function mayRunAdvised(stepId: string, endpoint: string): boolean {
	const text = `${stepId} ${endpoint}`;
	let hash = 0;
	for (const character of text) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	return hash % allowedInterval === 0;
}

/** Adds jobs of odd shapes to a plan, which stays the same otherwise; one seed in four has more endpoints than one call for advice names. */
export function addOddJobs(plan: RunPlan): RunPlan {
	const {seed, durationMs, queues, jobs} = plan;
	const added = seed % seedsPerLargePool === 0 ? Array.from({length: addedEndpointCount}, (_, index) => ({id: `desk-${index + 100}`, service: 'desk', clockRate: 1})) : [];
	const endpoints = [...plan.endpoints, ...added];
	return {
		...plan,
		queues: [...queues, {
			queue: advisedQueue, service: 'desk', attempts: 2, advice: adviceTimes,
		}],
		endpoints,
		jobs: [...jobs, ...drawOddJobs(seed, durationMs, endpoints, jobs.length + 1)],
	};
}

/** Draws jobs of odd shapes, numbered from the given number on. */
function drawOddJobs(seed: number, durationMs: number, endpoints: readonly EndpointPlan[], firstNumber: number): JobPlan[] {
	const random = createRandomSource(seed + 2_000_000);
	const jobs: JobPlan[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += drawBetween(random, 0, 2 * meanIntervalMs)) {
		const draw = Object.values(shapes)[random.getInteger(Object.keys(shapes).length)]!;
		const {queue = 'jobs-desk', count, step, expectation, cancelAfterMs} = draw(random);
		for (let index = 0; index < count; index++) {
			const jobId = (firstNumber + jobs.length).toString(16).padStart(16, '0');
			const isAllowed = queue !== advisedQueue || endpoints.some(({id}) => mayRunAdvised(`${jobId}.0.0`, id));
			jobs.push({
				atMs,
				job: {
					jobId, queue, payload: `ms=700 job=${jobId}`, steps: [{...smallStep, ...step}], ...(expectation !== undefined && {expectation}), ...(!isAllowed && {expectation: 'nothing'}),
				},
				cancelAfterMs,
				repeatAfterMs: undefined,
				retriesRejection: true,
			});
		}
	}

	return jobs;
}
