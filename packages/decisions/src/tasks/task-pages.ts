import {
	storeKeys, taskPageSchema, type EventOf, type PoolName, type KeyValue, type TaskPage, type TaskRecord,
} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {createTaskStatusResult} from './task-status.js';
import {
	createOperationId, createPage, type PoolTasks, type TaskPageState,
} from './tasks-state.js';

/** With bodies of at most 16 KB a page stays below the store's limit of 1 MB per value. */
const tasksPerPage = 40;
/** Changes within this interval are written together, which bounds the writes of a page to four per second. */
const writeIntervalMs = 250;
const writeRetryDelayMs = 500;
const loadRetryDelayMs = 1000;
/** Ended tasks are kept for status requests, and so that a request with the same key does not run again. */
const endedRetentionMs = 86_400_000;

/** Reads all pages of a pool from the store. @internal */
export function loadPages(state: EntryState, pool: PoolName, poolTasks: PoolTasks, context: DecisionContext): Output[] {
	poolTasks.nextLoadAt = context.now + loadRetryDelayMs;
	return [emitEffect({
		kind: 'read-store', operationId: createOperationId(state, 'load', pool), key: formatPagePrefix(pool), isPrefix: true,
	})];
}

/** Restores the pages that previous owners have stored. @internal */
export function restorePages(state: EntryState, poolTasks: PoolTasks, entries: readonly KeyValue[]): void {
	for (const entry of entries) {
		const page = createPage(entry.key);
		page.revision = entry.revision;
		poolTasks.pages.set(entry.key, page);
		mergePage(state, poolTasks, page, entry.value);
		page.writtenVersion = Math.max(page.writtenVersion, 1);
		page.version = Math.max(page.version, 1);
	}

	poolTasks.isLoaded = true;
}

/** Returns a page with space for a new task; creates one when all are full. @internal */
export function getOrCreateOpenPage(state: EntryState, pool: PoolName, poolTasks: PoolTasks): TaskPageState {
	for (const page of poolTasks.pages.values()) {
		if (page.tasks.size < tasksPerPage) {
			return page;
		}
	}

	// The epoch in the key avoids collisions with the pages of other owners.
	const key = `${formatPagePrefix(pool)}${state.membership.record!.epoch}-${state.config.id}-${poolTasks.pages.size}`;
	const page = createPage(key);
	poolTasks.pages.set(key, page);
	return page;
}

/** Writes the pages of a pool that have changed. @internal */
export function writePages(state: EntryState, pool: PoolName, poolTasks: PoolTasks, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const page of poolTasks.pages.values()) {
		if (page.version === page.writtenVersion || page.pendingOperationId !== undefined || context.now < page.nextWriteAt) {
			continue;
		}

		removeExpiredTasks(poolTasks, page, context);
		page.pendingOperationId = createOperationId(state, 'write', `${pool}:${page.key}`);
		page.pendingVersion = page.version;
		page.nextWriteAt = context.now + writeIntervalMs;
		const value: TaskPage = {writer: state.config.id, version: page.version, tasks: [...page.tasks.values()]};
		outputs.push(emitEffect({
			kind: 'write-store',
			operationId: page.pendingOperationId,
			key: page.key,
			value: JSON.stringify(value),
			condition: page.revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: page.revision},
			isLeased: false,
		}));
	}

	return outputs;
}

/** Handles the store's answer to the write of a page, or to the read that resolves an uncertain write. @internal */
export function handlePageAnswer(state: EntryState, poolTasks: PoolTasks, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const page = [...poolTasks.pages.values()].find(candidate => candidate.pendingOperationId === event.operationId);
	if (page === undefined) {
		return [];
	}

	page.pendingOperationId = undefined;
	const [entry] = event.entries;
	if (event.operationId.startsWith('tasks:write:') && event.result === 'applied') {
		return recordPageWritten(page, entry?.revision ?? page.revision);
	}

	if (event.operationId.startsWith('tasks:settle:') && event.result === 'applied') {
		return resolveUncertainWrite(state, poolTasks, page, entry);
	}

	// A failed write may have taken effect; reading the page back resolves that.
	page.pendingOperationId = createOperationId(state, 'settle', page.key);
	page.nextWriteAt = context.now + writeRetryDelayMs;
	return [emitEffect({
		kind: 'read-store', operationId: page.pendingOperationId, key: page.key, isPrefix: false,
	})];
}

function recordPageWritten(page: TaskPageState, revision: number): Output[] {
	page.revision = revision;
	page.writtenVersion = page.pendingVersion;
	const outputs: Output[] = [];
	for (const waiter of page.waiters.splice(0)) {
		if (waiter.version > page.writtenVersion) {
			page.waiters.push(waiter);
			continue;
		}

		const task = page.tasks.get(waiter.taskId);
		if (task !== undefined) {
			outputs.push(restartEvent({
				kind: 'result-ready', requestId: waiter.requestId, receiver: waiter.receiver, result: createTaskStatusResult(task, 202),
			}));
		}
	}

	return outputs;
}

function resolveUncertainWrite(state: EntryState, poolTasks: PoolTasks, page: TaskPageState, entry: KeyValue | undefined): Output[] {
	if (entry === undefined) {
		page.revision = 0;
		return [];
	}

	const stored = taskPageSchema.safeParse(parseJson(entry.value)).data;
	if (stored?.writer === state.config.id && stored.version === page.pendingVersion) {
		return recordPageWritten(page, entry.revision);
	}

	// The store holds another version of the page: its task stages are merged, and the page is written again.
	page.revision = entry.revision;
	mergePage(state, poolTasks, page, entry.value);
	page.version += 1;
	return [];
}

/** Merges the stored tasks of a page. Tasks that another owner has started may have run, so non-idempotent ones end as unknown. */
function mergePage(state: EntryState, poolTasks: PoolTasks, page: TaskPageState, text: string): void {
	const stored = taskPageSchema.safeParse(parseJson(text)).data;
	if (stored === undefined) {
		return;
	}

	page.version = Math.max(page.version, stored.version);
	page.writtenVersion = Math.max(page.writtenVersion, stored.version);
	for (const task of stored.tasks) {
		const known = page.tasks.get(task.id);
		const isOwnTask = stored.writer === state.config.id && known !== undefined;
		const isOnOtherPage = poolTasks.pageByTask.has(task.id) && known === undefined;
		if (isOwnTask || isOnOtherPage || known?.stage === 'ended') {
			continue;
		}

		page.tasks.set(task.id, restoreTask(task));
		poolTasks.pageByTask.set(task.id, page);
		if (task.stage === 'started') {
			page.version += 1;
		}
	}
}

function restoreTask(task: TaskRecord): TaskRecord {
	if (task.stage !== 'started') {
		return task;
	}

	return task.isIdempotent ? {...task, stage: 'accepted'} : {...task, stage: 'ended', outcome: 'unknown'};
}

function removeExpiredTasks(poolTasks: PoolTasks, page: TaskPageState, context: DecisionContext): void {
	for (const [id, task] of page.tasks) {
		if (task.stage === 'ended' && context.wallTime - (task.endedAt ?? task.acceptedAt) > endedRetentionMs) {
			page.tasks.delete(id);
			poolTasks.pageByTask.delete(id);
		}
	}
}

function formatPagePrefix(pool: PoolName): string {
	return `${storeKeys.tasksPrefix}${pool}/`;
}
