import {type OrderTarget} from './effects.js';

const generationCount = 65_536;

/** Highest generation of the orders to one endpoint under one claim. @public */
export const maxOrderGeneration = generationCount - 1;

/** Returns the fencing token of an order: that of a later claim is higher, and under one claim that of a later generation. @public */
export function computeOrderToken({token, generation}: Pick<OrderTarget, 'token' | 'generation'>): number {
	return (token * generationCount) + generation;
}

/** Returns the token of the claim under which an order with the given fencing token was sent. @public */
export function getClaimToken(fencingToken: number): number {
	return Math.floor(fencingToken / generationCount);
}
