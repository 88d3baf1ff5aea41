import {cutGroup, type LinkRule} from '@pistachiogauge/platform/standins';
import {
	type EntryTarget, type FaultKind, type FaultPlan, type FaultPlanOf,
} from './fault-plan.js';
import {type Installation} from './installation.js';
import {recutTimes} from './recuts.js';

/** A fault under way: whom it disturbs, and how it ends. */
type ActiveFault = {readonly participants: readonly string[]; end(): void};

type FaultHandlers = {readonly [Kind in FaultKind]: (installation: Installation, fault: FaultPlanOf<Kind>) => ActiveFault};

const store = 'store';
const doNothing = (): void => undefined;
/** Time for a killed process to be gone before it is started again. */
const exitMs = 200;

function findTarget({plan, findOwner}: Installation, target: EntryTarget): string {
	const fallback = plan.entries[target.kind === 'entry' ? target.index : 0] ?? '';
	return target.kind === 'owner' ? findOwner(plan.queues[target.pool]?.service ?? '') ?? fallback : fallback;
}

function findEndpoint(installation: Installation, index: number): Installation['endpoints'][number] {
	const present = installation.endpoints.filter(endpoint => !endpoint.hasLeft());
	return present[index % present.length]!;
}

/** Successive endpoints of a list, from its start again after its end. */
function selectEndpoints<Endpoint>(candidates: readonly Endpoint[], count: number, first: number): Endpoint[] {
	return Array.from({length: Math.min(count, candidates.length)}, (_, index) => candidates[(first + index) % candidates.length]!);
}

/** The target's endpoints: those of the owned pool, or all. */
function listEndpointIds({plan, endpoints}: Installation, target: EntryTarget): string[] {
	const service = target.kind === 'owner' ? plan.queues[target.pool]?.service : undefined;
	return endpoints.filter(endpoint => !endpoint.hasLeft() && (service === undefined || endpoint.service === service)).map(({id}) => id);
}

function createRestart(installation: Installation, entry: string): () => void {
	return () => {
		installation.processes.signal(entry, 'SIGKILL');
		setTimeout(installation.startEntry, exitMs, entry);
	};
}

const handlers: FaultHandlers = {
	'group-cut'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		const candidates = listEndpointIds(installation, fault.target);
		const endpoints = selectEndpoints(candidates, fault.endpointCount, fault.firstEndpoint);
		const cut = cutGroup(new Set([entry, ...endpoints]));
		const rule: LinkRule = (from, to, isWrite) => {
			const isReport = to === store && from !== undefined && endpoints.includes(from);
			const state = fault.hasReports && isReport ? undefined : cut(from, to, isWrite);
			return state === 'cut' && to !== store && installation.random.getFraction() < fault.lateShare ? 'late' : state;
		};

		const end = installation.links.addRule(rule);
		if (fault.keys !== 'kept') {
			installation.store.takeKeys(entry, fault.keys === 'taken-and-lease-ended');
		}

		return {participants: [entry, ...endpoints, ...(fault.keys === 'kept' ? [] : [store])], end};
	},
	'one-way-cut'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		const sides: Readonly<Record<typeof fault.side, (to: string) => boolean>> = {store: to => to === store, endpoints: to => to !== store, both: () => true};
		return {
			participants: [entry], end: installation.links.addRule((from, to) => from === entry && sides[fault.side](to) ? 'answers-lost' : undefined),
		};
	},
	'keys-taken'(installation, fault) {
		installation.store.takeKeys(findTarget(installation, fault.target), fault.endsLease);
		return {participants: [store], end: doNothing};
	},
	'store-down'(installation, {entries, state, pausesLeases}) {
		const names = new Set(entries === 'all' ? installation.plan.entries : entries.map(index => installation.plan.entries[index] ?? ''));
		const removeRule = installation.links.addRule((from, to) => to === store && (entries === 'all' || names.has(from ?? '')) ? state : undefined);
		if (pausesLeases) {
			installation.store.pauseLeases();
		}

		if (state === 'reset') {
			for (const name of names) {
				installation.store.resetConnections(name);
			}
		}

		return {
			participants: [store],
			end() {
				removeRule();
				if (pausesLeases) {
					installation.store.resumeLeases();
				}
			},
		};
	},
	'store-writes'(installation, {state, share}) {
		return {
			participants: [store], end: installation.links.addRule((_from, to, isWrite) => to === store && isWrite && installation.random.getFraction() < share ? state : undefined),
		};
	},
	'store-history-lost'(installation) {
		installation.store.dropHistory();
		return {participants: [store], end: doNothing};
	},
	'entry-paused'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		installation.processes.signal(entry, 'SIGSTOP');
		return {
			participants: [entry],
			end() {
				installation.processes.signal(entry, 'SIGCONT');
			},
		};
	},
	'entry-killed'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		installation.processes.signal(entry, 'SIGKILL');
		return {participants: [entry], end: createRestart(installation, entry)};
	},
	'entry-terminated'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		installation.processes.signal(entry, 'SIGTERM');
		return {participants: [entry], end: createRestart(installation, entry)};
	},
	'entry-reloaded'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		installation.processes.signal(entry, 'SIGHUP');
		return {participants: [], end: doNothing};
	},
	'endpoint-crashed'(installation, fault) {
		const endpoint = findEndpoint(installation, fault.endpoint);
		endpoint.crash(fault.isSilent);
		return {
			participants: [endpoint.id],
			end() {
				if (endpoint.isUp()) {
					return;
				}

				const removeRule = installation.links.addRule((_from, to) => to === endpoint.id && fault.cutForMs > 0 ? 'cut' : undefined);
				endpoint.restart();
				setTimeout(removeRule, fault.cutForMs);
			},
		};
	},
	'endpoint-cut'(installation, fault) {
		const {id} = findEndpoint(installation, fault.endpoint);
		return {
			participants: [id], end: installation.links.addRule((from, to) => to === id || (from === id && !fault.hasReports) ? 'cut' : undefined),
		};
	},
	'orders-late'(installation, {share}) {
		return {
			participants: [], end: installation.links.addRule((_from, to) => to !== store && installation.random.getFraction() < share ? 'late' : undefined),
		};
	},
	'connections-reset'(installation, fault) {
		const entry = findTarget(installation, fault.target);
		const endpoint = findEndpoint(installation, fault.endpoint);
		installation.store.resetConnections(entry);
		endpoint.resetConnections();
		return {participants: [entry], end: doNothing};
	},
	'endpoints-recut'(installation, fault) {
		const {links, random} = installation;
		const target = {kind: 'owner', pool: fault.pool} as const;
		const ids = new Set(selectEndpoints(listEndpointIds(installation, target), fault.endpointCount, fault.firstEndpoint));
		const endpoints = installation.endpoints.filter(({id}) => ids.has(id));
		let removeRule = links.addRule((_from, to) => ids.has(to) && random.getFraction() < fault.lateShare ? fault.lateness : undefined);
		const crash = (): void => {
			removeRule();
			for (const endpoint of endpoints) {
				endpoint.crash(true, fault.darkOrders);
			}
		};

		const restart = (): void => {
			for (const endpoint of endpoints) {
				if (!endpoint.isUp()) {
					endpoint.restart();
				}
			}
		};

		const cut = (): void => {
			removeRule = links.addRule((from, to) => ids.has(to) || (from !== undefined && ids.has(from) && !fault.hasReports) ? 'cut' : undefined);
		};

		const killOwner = (): void => {
			const owner = findTarget(installation, target);
			installation.processes.signal(owner, 'SIGKILL');
			setTimeout(installation.startEntry, fault.ownerDownMs, owner);
		};

		const timers = [
			setTimeout(crash, recutTimes.crashMs),
			setTimeout(restart, recutTimes.returnMs),
			setTimeout(cut, recutTimes.returnMs + fault.cutAfterMs),
			...(fault.killAfterMs === undefined ? [] : [setTimeout(killOwner, recutTimes.returnMs + fault.killAfterMs)]),
		];
		return {
			participants: [...ids],
			end() {
				for (const timer of timers) {
					clearTimeout(timer);
				}

				removeRule();
				restart();
			},
		};
	},
};

type AnyHandler = (installation: Installation, fault: FaultPlan) => ActiveFault;

/** Starts a fault. @returns A function that ends it. */
export function startFault(installation: Installation, fault: FaultPlan, number: number): () => void {
	const handle = handlers[fault.kind] as AnyHandler;
	const {participants, end} = handle(installation, fault);
	installation.observe({
		kind: 'fault-started', number, fault: fault.kind, participants,
	});
	return () => {
		end();
		installation.observe({
			kind: 'fault-ended', number, fault: fault.kind, participants,
		});
	};
}
