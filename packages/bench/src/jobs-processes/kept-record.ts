import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {type Observation} from '@pistachiogauge/platform/standins';
import {listViolations, type Violation} from './checks/index.js';
import {type RunPlan} from './run-plan.js';

const planFile = 'plan.json';
/** One observation a line. */
export const recordFile = 'record.jsonl';

/** Writes the plan of a run beside its record. */
export function writePlan(logFolder: string, plan: RunPlan): void {
	writeFileSync(path.join(logFolder, planFile), JSON.stringify(plan, undefined, '\t'));
}

/** Checks what was observed in a run of a plan. */
export function checkObservations(plan: RunPlan, observations: readonly Observation[]): Violation[] {
	return listViolations(observations, plan.queues);
}

/** Checks the kept record of a run again. @throws Error if the folder holds no record of a run. */
export function checkKeptRecord(logFolder: string): Violation[] {
	const plan = JSON.parse(readFileSync(path.join(logFolder, planFile), 'utf8')) as RunPlan;
	const lines = readFileSync(path.join(logFolder, recordFile), 'utf8').split('\n').filter(line => line !== '');
	return checkObservations(plan, lines.map(line => JSON.parse(line) as Observation));
}
