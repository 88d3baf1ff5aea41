import {type Monitor} from '../virtual/virtual-cluster.js';
import {type VirtualCallers} from '../virtual/virtual-callers.js';
import {
	type Observation, type ObservationKind, type ObservationOf, type Simulation,
} from '../virtual/simulation.js';

/** Handlers of one check; each returns a description of the violation, or undefined. */
export type CheckHandlers = {
	readonly [Kind in ObservationKind]?: (simulation: Simulation, observation: ObservationOf<Kind>) => string | undefined;
};

/** An invariant over all entries and endpoints of a run. */
export type Check = {
	readonly name: string;
	createHandlers(callers: VirtualCallers): CheckHandlers;
};

type AnyHandler = (simulation: Simulation, observation: Observation) => string | undefined;

/** Creates a monitor that records the first invariant violation of a run. */
export function createMonitor(checks: readonly Check[], callers: VirtualCallers): Monitor {
	const tables = checks.map(check => ({name: check.name, handlers: check.createHandlers(callers)}));
	const handlersByKind = new Map<ObservationKind, Array<{name: string; handler: AnyHandler}>>();
	for (const {name, handlers} of tables) {
		for (const [kind, handler] of Object.entries(handlers)) {
			const list = handlersByKind.get(kind as ObservationKind) ?? [];
			list.push({name, handler: handler as AnyHandler});
			handlersByKind.set(kind as ObservationKind, list);
		}
	}

	return (simulation, observation) => {
		for (const {name, handler} of handlersByKind.get(observation.kind) ?? []) {
			const message = handler(simulation, observation);
			if (message !== undefined) {
				simulation.violation ??= {invariant: name, message, at: simulation.queue.now};
			}
		}
	};
}
