/** Which messages between the nodes of a cut and all others are lost. */
export type CutDirection = 'both' | 'inbound' | 'outbound';

/** A partition of the network: the named nodes reach each other, and messages between them and the others are lost. */
export type NetworkCut = {
	readonly nodes: ReadonlySet<string>;
	readonly direction: CutDirection;
};

/** Reachability of the store, the entries and the endpoints from each other. */
export type VirtualNetwork = {
	/** Whether a message that is sent now arrives. */
	canDeliver(from: string, to: string): boolean;
	/** Whether messages between two nodes are lost in either direction. */
	isCutOff(left: string, right: string): boolean;
	/** Starts a cut. Cuts may overlap: a message has to pass all of them. */
	startCut(cut: NetworkCut): void;
	endCut(cut: NetworkCut): void;
};

/** Name of the store as a node of the network. */
export const storeNode = 'store';

/** Creates a network without cuts. */
export function createVirtualNetwork(): VirtualNetwork {
	const cuts = new Set<NetworkCut>();

	function canDeliver(from: string, to: string): boolean {
		for (const {nodes, direction} of cuts) {
			const isOutbound = nodes.has(from);
			if (isOutbound !== nodes.has(to) && (direction === 'both' || (direction === 'outbound') === isOutbound)) {
				return false;
			}
		}

		return true;
	}

	return {
		canDeliver,
		isCutOff: (left, right) => !canDeliver(left, right) || !canDeliver(right, left),
		startCut(cut) {
			cuts.add(cut);
		},
		endCut(cut) {
			cuts.delete(cut);
		},
	};
}
