/** The key-value service did not answer or its response violates the protocol. A write may have taken effect. @public */
export class StoreError extends Error {
	override readonly name = 'StoreError';
}
