import {type PoolName, type PoolRecord} from '@pistachiogauge/model';
import {passEvent, type Output} from '../chain.js';

/** Creates the audit events for the permits and waves that a confirmed write has changed. @internal */
export function createChangeEvents(pool: PoolName, former: PoolRecord, current: PoolRecord): Output[] {
	const outputs: Output[] = [];
	const add = (by: string, action: string, subject: string, detail: string) => {
		outputs.push(passEvent({
			kind: 'audit-event', by, action, subject, result: 'done', detail,
		}));
	};

	for (const id of new Set([...Object.keys(former.permits), ...Object.keys(current.permits)])) {
		const before = former.permits[id];
		const after = current.permits[id];
		if (before?.stage !== after?.stage) {
			const {by, reason, targetPool} = (after ?? before)!;
			const stage = after?.stage ?? 'released';
			add(by, `permit-${stage}`, `pool ${pool} instance ${id}`, targetPool === undefined ? reason : `${reason} to ${targetPool}`);
		}
	}

	if (current.wave !== undefined && (former.wave?.state !== current.wave.state || former.wave.id !== current.wave.id)) {
		add(current.wave.by ?? 'system', `wave-${current.wave.state}`, `pool ${pool}`, current.wave.id);
	}

	return outputs;
}
