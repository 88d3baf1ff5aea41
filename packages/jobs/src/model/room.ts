/** Processor, memory and accelerators that a task takes or an endpoint has. @public */
export type Resources = {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly gpus: number;
};

/** The difference; a component may be negative when more is taken than there is. @public */
export function subtractResources(left: Resources, right: Resources): Resources {
	return {cpuMillis: left.cpuMillis - right.cpuMillis, memoryMb: left.memoryMb - right.memoryMb, gpus: left.gpus - right.gpus};
}

/** Whether the wanted room fits into the free room. @public */
export function hasCapacityFor(free: Resources, wanted: Resources): boolean {
	return wanted.cpuMillis <= free.cpuMillis && wanted.memoryMb <= free.memoryMb && wanted.gpus <= free.gpus;
}
