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

/** A kind of resource. @public */
export type ResourceName = keyof Resources;

const resourceNames: readonly ResourceName[] = ['cpuMillis', 'memoryMb', 'gpus'];

/** Computes each component by itself. @public */
export function computeResources(compute: (name: ResourceName) => number): Resources {
	return {cpuMillis: compute('cpuMillis'), memoryMb: compute('memoryMb'), gpus: compute('gpus')};
}

/** Whether a condition holds for any component. @public */
export function hasComponent(isWanted: (name: ResourceName) => boolean): boolean {
	return resourceNames.some(name => isWanted(name));
}

/** No resources. @public */
export const noResources: Resources = {cpuMillis: 0, memoryMb: 0, gpus: 0};

/** Sums component by component. @public */
export function sumResources(amounts: Iterable<Resources>): Resources {
	let sum = noResources;
	for (const amount of amounts) {
		sum = addResources(sum, amount);
	}

	return sum;
}
