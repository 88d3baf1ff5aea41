import {
	storeKeys, taskPageSchema, type EventOf, type PoolName, type StoreEntry, type TaskPage, type TaskRecord,
} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {createTaskAnswer} from './task-answer.js';
import {
	createOperationId, createPage, type PoolTasks, type TaskPageState,
} from './tasks-state.js';

/** Tasks of a page; with bodies of at most 16 KB a page stays below the store's 1 MB a value. */
const tasksPerPage = 40;
/** Changes of this long are written together, which bounds the writes of a pool to four a second. */
const writeIntervalMs = 250;
const retryPauseMs = 500;
const loadPauseMs = 1000;
/** Ended tasks are kept for questions about them, and so that a repeat of the key does not run again. */
const endedRetentionMs = 86_400_000;

/** Asks for all pages of a pool. @internal */
export function readPages(state: EntryState, pool: PoolName, pooled: PoolTasks, context: DecisionContext): Output[] {
	pooled.nextLoadAt = context.now + loadPauseMs;
	return [emitEffect({
		kind: 'read-store', operationId: createOperationId(state, 'load', pool), key: getPrefix(pool), isPrefix: true,
	})];
}

/** Takes over the pages that former owners left. @internal */
export function readTaskPages(state: EntryState, pooled: PoolTasks, entries: readonly StoreEntry[]): void {
	for (const entry of entries) {
		const page = createPage(entry.key);
		page.revision = entry.revision;
		pooled.pages.set(entry.key, page);
		mergePage(state, pooled, page, entry.value);
		page.writtenVersion = Math.max(page.writtenVersion, 1);
		page.version = Math.max(page.version, 1);
	}

	pooled.isLoaded = true;
}

/** Chooses the page for a new task. @internal */
export function getOpenPage(state: EntryState, pool: PoolName, pooled: PoolTasks): TaskPageState {
	for (const page of pooled.pages.values()) {
		if (page.tasks.size < tasksPerPage) {
			return page;
		}
	}

	// The epoch in the key keeps the pages of successive owners apart.
	const key = `${getPrefix(pool)}${state.membership.record!.epoch}-${state.config.id}-${pooled.pages.size}`;
	const page = createPage(key);
	pooled.pages.set(key, page);
	return page;
}

/** Writes the pages of a pool that have changed. @internal */
export function writePages(state: EntryState, pool: PoolName, pooled: PoolTasks, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const page of pooled.pages.values()) {
		if (page.version === page.writtenVersion || page.pendingOperation !== undefined || context.now < page.nextWriteAt) {
			continue;
		}

		removeEnded(pooled, page, context);
		page.pendingOperation = createOperationId(state, 'write', `${pool}:${page.key}`);
		page.pendingVersion = page.version;
		page.nextWriteAt = context.now + writeIntervalMs;
		const value: TaskPage = {writer: state.config.id, version: page.version, tasks: [...page.tasks.values()]};
		outputs.push(emitEffect({
			kind: 'write-store',
			operationId: page.pendingOperation,
			key: page.key,
			value: JSON.stringify(value),
			condition: page.revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: page.revision},
			isLeased: false,
		}));
	}

	return outputs;
}

/** Handles the store's answer to a page's write, or to the read that settles a doubtful one. @internal */
export function finishPageOperation(state: EntryState, pooled: PoolTasks, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const page = [...pooled.pages.values()].find(candidate => candidate.pendingOperation === event.operationId);
	if (page === undefined) {
		return [];
	}

	page.pendingOperation = undefined;
	const [entry] = event.entries;
	if (event.operationId.startsWith('tasks:write:') && event.result === 'applied') {
		return finishPageWrite(page, entry?.revision ?? page.revision);
	}

	if (event.operationId.startsWith('tasks:settle:') && event.result === 'applied') {
		return settleWrite(state, pooled, page, entry);
	}

	// A failed write may have taken effect; reading the page back tells.
	page.pendingOperation = createOperationId(state, 'settle', page.key);
	page.nextWriteAt = context.now + retryPauseMs;
	return [emitEffect({
		kind: 'read-store', operationId: page.pendingOperation, key: page.key, isPrefix: false,
	})];
}

function finishPageWrite(page: TaskPageState, revision: number): Output[] {
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
				kind: 'result-ready', requestId: waiter.requestId, receiver: waiter.receiver, result: createTaskAnswer(task, 202),
			}));
		}
	}

	return outputs;
}

function settleWrite(state: EntryState, pooled: PoolTasks, page: TaskPageState, entry: StoreEntry | undefined): Output[] {
	if (entry === undefined) {
		page.revision = 0;
		return [];
	}

	const stored = taskPageSchema.safeParse(parseJson(entry.value)).data;
	if (stored?.writer === state.config.id && stored.version === page.pendingVersion) {
		return finishPageWrite(page, entry.revision);
	}

	// Another owner wrote in between: its marks count, and the page is written again on top of them.
	page.revision = entry.revision;
	mergePage(state, pooled, page, entry.value);
	page.version += 1;
	return [];
}

/** Takes in the stored tasks of a page. What another owner has started may have run. */
function mergePage(state: EntryState, pooled: PoolTasks, page: TaskPageState, text: string): void {
	const stored = taskPageSchema.safeParse(parseJson(text)).data;
	if (stored === undefined) {
		return;
	}

	page.version = Math.max(page.version, stored.version);
	page.writtenVersion = Math.max(page.writtenVersion, stored.version);
	for (const task of stored.tasks) {
		const known = page.tasks.get(task.id);
		const isOwn = stored.writer === state.config.id && known !== undefined;
		const isElsewhere = pooled.pageByTask.has(task.id) && known === undefined;
		if (isOwn || isElsewhere || known?.stage === 'ended') {
			continue;
		}

		page.tasks.set(task.id, adoptTask(task));
		pooled.pageByTask.set(task.id, page);
		if (task.stage === 'started') {
			page.version += 1;
		}
	}
}

function adoptTask(task: TaskRecord): TaskRecord {
	if (task.stage !== 'started') {
		return task;
	}

	return task.isIdempotent ? {...task, stage: 'accepted'} : {...task, stage: 'ended', outcome: 'unknown'};
}

function removeEnded(pooled: PoolTasks, page: TaskPageState, context: DecisionContext): void {
	for (const [id, task] of page.tasks) {
		if (task.stage === 'ended' && context.wallTime - (task.endedAt ?? task.acceptedAt) > endedRetentionMs) {
			page.tasks.delete(id);
			pooled.pageByTask.delete(id);
		}
	}
}

function getPrefix(pool: PoolName): string {
	return `${storeKeys.tasksPrefix}${pool}/`;
}
