/**
Chain of filters that process events in order, and the clock and random numbers that their handlers receive.

@packageDocumentation
*/
export * from './append-items.js';
export * from './chain.js';
export * from './context.js';
