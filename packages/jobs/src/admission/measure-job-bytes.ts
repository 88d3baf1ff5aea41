import {type LedgerView, type PoolLedger} from '../ledger/index.js';
import {type AdmissionState, type PoolMemory} from './admission-state.js';

/** What an owner keeps of a job, of a step of its specification and of a step whose tasks are known, in bytes of heap; somewhat more than measured. */
const jobBytes = 2000;
const specStepBytes = 500;
const stepBytes = 700;
/** Part of the limit below which a full pool has room again. */
const roomShare = 0.8;
const measureIntervalMs = 250;

/** Bounds of the time after which refused callers come back, in ms. */
const minFullRetryMs = 2000;
const maxFullRetryMs = 20_000;

/** Estimates the heap that the jobs of a pool take in its owner. What runs is not counted, as it is bounded by itself. @internal */
export function estimateJobBytes({jobs}: Pick<PoolLedger, 'jobs'>): number {
	let bytes = 0;
	for (const {record, steps} of jobs.values()) {
		bytes += jobBytes + record.spec.payload.length + (specStepBytes * record.spec.steps.length) + (stepBytes * steps.size);
	}

	return bytes;
}

/**
Returns how long callers should wait before they submit jobs to a pool, as its owner has no memory for them; 0 while it has.

The limit holds for all pools of this entry together. Those with more than an even part of it are full.

@internal
*/
export function measureFullMs({admission, ledger}: {readonly admission: AdmissionState} & LedgerView, pool: string, now: number): number {
	const {memory} = admission;
	if (now >= memory.measuredAt + measureIntervalMs) {
		memory.measuredAt = now;
		updateFullPools(memory, ledger.pools, now);
	}

	const fullSince = memory.fullSince.get(pool);
	// The longer it has been full, the longer it may take.
	return fullSince === undefined ? 0 : Math.min(maxFullRetryMs, Math.max(minFullRetryMs, now - fullSince));
}

function updateFullPools({maxBytes, fullSince}: PoolMemory, pools: LedgerView['ledger']['pools'], now: number): void {
	const bytesByPool = new Map([...pools].map(([name, pool]) => [name, estimateJobBytes(pool)]));
	const total = [...bytesByPool.values()].reduce((sum, bytes) => sum + bytes, 0);
	for (const name of fullSince.keys()) {
		if (!bytesByPool.has(name)) {
			fullSince.delete(name);
		}
	}

	for (const [name, bytes] of bytesByPool) {
		const share = fullSince.has(name) ? roomShare : 1;
		if (total <= share * maxBytes || bytes <= share * maxBytes / pools.size) {
			fullSince.delete(name);
		} else if (!fullSince.has(name)) {
			fullSince.set(name, now);
		}
	}
}
