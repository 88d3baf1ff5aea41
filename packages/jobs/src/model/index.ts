export type * from './duration-model.js';
export * from './resources.js';
export * from './job.js';
export type * from './configuration.js';
export type * from './endpoint.js';
export type * from './machine.js';
export * from './coordination.js';
export type * from './events.js';
export type * from './effects.js';
