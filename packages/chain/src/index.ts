/**
Ordered filters over events, and the time and chance that their handlers are given.

@packageDocumentation
*/
export * from './chain.js';
export * from './context.js';
