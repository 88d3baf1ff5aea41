/**
Types, string unions and schemas that all packages share.

@packageDocumentation
*/
export * from './bundle.js';
export type * from './effects.js';
export * from './entry-config.js';
export * from './epoch.js';
export type * from './events.js';
export * from './fleet.js';
export type * from './identifiers.js';
export * from './messages.js';
export * from './operator-command.js';
export * from './outcome.js';
export * from './request.js';
export * from './store-keys.js';
export * from './task.js';
