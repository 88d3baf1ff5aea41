import {describe, expect, it} from 'vitest';
import {storeKeys, type EpochRecord} from '@pistachiogauge/model';
import {createRandomSource, type RandomSource} from '../context.js';
import {
	askKeyed, checkAtMostOnce, getOutcome, makeKey,
} from './keyed-request.js';
import {createVirtualCluster, type VirtualCluster} from './virtual-cluster.js';

const services = {badge: 'p1', host: 'p2', admin: 'p3'};
const stepCount = 60;
const stepMs = 500;
const recoveryMs = 15_000;

type Fault = (cluster: VirtualCluster, pick: () => string, random: RandomSource) => void;

/** Faults of one step; each is undone by a later one or stays. */
const faults: Readonly<Record<string, Fault>> = {
	cutLink(cluster, pick) {
		cluster.setLink(pick(), pick(), false);
	},
	healLink(cluster, pick) {
		cluster.setLink(pick(), pick(), true);
	},
	silenceLink(cluster, pick) {
		cluster.cutLinks.add(`${pick()}>${pick()}`);
	},
	healAll(cluster) {
		for (const left of cluster.entries.keys()) {
			for (const right of cluster.entries.keys()) {
				if (left < right) {
					cluster.setLink(left, right, true);
				}
			}
		}
	},
	cutStore(cluster, pick) {
		cluster.setStoreConnection(pick(), false);
	},
	healStore(cluster) {
		for (const id of cluster.entries.keys()) {
			cluster.setStoreConnection(id, true);
		}
	},
	pause(cluster, pick) {
		cluster.entries.get(pick())!.isPaused = true;
	},
	wake(cluster) {
		for (const id of cluster.entries.keys()) {
			cluster.resumeEntry(id);
		}
	},
	kill(cluster, pick) {
		const alive = [...cluster.entries.values()].filter(entry => !entry.hasExited);
		if (alive.length > 3) {
			cluster.killEntry(pick());
		}
	},
	start(cluster, _pick, random) {
		const alive = [...cluster.entries.values()].filter(entry => !entry.hasExited);
		if (alive.length < 6) {
			const id = `n${cluster.entries.size}.1`;
			cluster.startEntry(id, `z${1 + random.getInteger(3)}`);
		}
	},
	shutDown(cluster, pick) {
		const alive = [...cluster.entries.values()].filter(entry => !entry.hasExited);
		if (alive.length > 3) {
			cluster.pushEvent(pick(), {kind: 'shutdown-requested'});
		}
	},
	loseAnswers(cluster, _pick, random) {
		const share = random.getFraction();
		cluster.faults.isAnswerLost = () => random.getFraction() < share / 2;
	},
	moveService(cluster, _pick, random) {
		const versions = [...cluster.entries.values()].map(entry => entry.state.bundle.current?.version ?? 0);
		cluster.setBundle(Math.max(...versions) + 1, {...services, badge: `p${1 + random.getInteger(3)}`});
	},
	dropMessages(cluster, _pick, random) {
		const share = random.getFraction() / 4;
		cluster.faults.isDropped = () => random.getFraction() < share;
	},
	deliverAll(cluster) {
		cluster.faults.isDropped = () => false;
		cluster.faults.isAnswerLost = () => false;
	},
};
const faultNames = Object.keys(faults);

/** Whether a majority of the stored epoch's members still runs, and one of the epoch before where it is still needed. */
function hasMajority(cluster: VirtualCluster): boolean {
	const {members, previousMembers} = JSON.parse(cluster.store.pairs.get(storeKeys.epoch)!.value) as EpochRecord;
	const isActive = [...cluster.entries.values()].some(entry => !entry.hasExited && entry.state.membership.isActive);
	const isCounted = (id: string) => !cluster.entries.get(id)!.hasExited || cluster.store.pairs.has(`${storeKeys.departedPrefix}${id}`);
	const hasHalf = (ids: readonly string[]) => 2 * ids.filter(id => isCounted(id)).length > ids.length;
	return hasHalf(members.map(member => member.id)) && (isActive || previousMembers.length === 0 || hasHalf(previousMembers));
}

function runSeed(seed: number): void {
	const random = createRandomSource(seed);
	const entries = ['a', 'b', 'c', 'd'].map((name, index) => ({id: `${name}.1`, zone: `z${(index % 3) + 1}`}));
	const cluster = createVirtualCluster({
		entries, services, answerMs: 300, seed,
	});
	const keys: string[] = [];
	let asked = 0;
	const pick = () => {
		const alive = [...cluster.entries.values()].filter(entry => !entry.hasExited);
		return alive[random.getInteger(alive.length)]!.id;
	};

	const check = () => {
		for (const pool of ['p1', 'p2', 'p3']) {
			const acting = cluster.listActingOwners(pool);
			if (acting.length > 1) {
				throw new Error(`seed ${seed}: ${pool} has two owners at ${cluster.getNow()}: ${acting.join(', ')}`);
			}
		}
	};

	cluster.runFor(8000, check);
	for (let step = 0; step < stepCount; step++) {
		for (let count = 0; count < 4; count++) {
			const isRepeat = keys.length > 0 && random.getFraction() < 0.4;
			const key = isRepeat ? keys[Math.max(0, keys.length - 1 - random.getInteger(8))]! : makeKey(cluster.getWallTime() + random.getInteger(8000) - 4000, keys.length);
			if (!isRepeat) {
				keys.push(key);
			}

			asked += 1;
			askKeyed(cluster, pick(), `r${asked}`, key, {timeLeftMs: 500 + random.getInteger(6000)});
		}

		if (random.getFraction() < 0.6) {
			faults[faultNames[random.getInteger(faultNames.length)]!]!(cluster, pick, random);
		}

		cluster.runFor(stepMs, check);
		checkAtMostOnce(cluster);
	}

	for (const name of ['healAll', 'healStore', 'wake', 'deliverAll']) {
		faults[name]!(cluster, pick, random);
	}

	cluster.runFor(recoveryMs, check);
	const receiver = [...cluster.entries.values()].find(entry => !entry.hasExited && !entry.state.membership.isLeaving)!.id;
	const fresh = makeKey(cluster.getWallTime(), keys.length);
	askKeyed(cluster, receiver, 'last', fresh, {service: 'admin'});
	cluster.runFor(5000, check);
	checkAtMostOnce(cluster);
	const isMajorityPresent = hasMajority(cluster);
	expect(getOutcome(cluster, 'last') === 'completed', `seed ${seed}: ${getOutcome(cluster, 'last')}`).toBe(isMajorityPresent);
	expect(cluster.effects.filter(({effect}) => effect.kind === 'handler-failed'), `seed ${seed}`).toEqual([]);
}

const firstSeed = Number(process.env.FIRST_SEED ?? 1);
const seeds = Array.from({length: Number(process.env.SEED_COUNT ?? 12)}, (_, index) => ({seed: firstSeed + index}));

// Guards against combinations of faults that no written trace covers.
describe('random faults', () => {
	it.each(seeds)('seed $seed keeps one owner and at most one run, and recovers', ({seed}) => {
		runSeed(seed);
	});
});
