/** The key-value service did not answer, or not as its protocol says. A write may have taken effect. @public */
export class StoreError extends Error {
	override readonly name = 'StoreError';
}
