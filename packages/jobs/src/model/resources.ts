/** An amount of CPU, memory and GPUs: what a task takes, or what an endpoint or machine has. @public */
export type Resources = {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly gpus: number;
};

/** Adds component by component. @public */
export function addResources(left: Resources, right: Resources): Resources {
	return {cpuMillis: left.cpuMillis + right.cpuMillis, memoryMb: left.memoryMb + right.memoryMb, gpus: left.gpus + right.gpus};
}

/** Subtracts component by component; a component is negative when more is taken than there is. @public */
export function subtractResources(left: Resources, right: Resources): Resources {
	return {cpuMillis: left.cpuMillis - right.cpuMillis, memoryMb: left.memoryMb - right.memoryMb, gpus: left.gpus - right.gpus};
}

/** Whether the free resources cover the wanted ones. @public */
export function hasCapacityFor(free: Resources, wanted: Resources): boolean {
	return wanted.cpuMillis <= free.cpuMillis && wanted.memoryMb <= free.memoryMb && wanted.gpus <= free.gpus;
}
