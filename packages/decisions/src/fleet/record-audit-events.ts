import {type PoolName, type PoolRecord} from '@pistachiogauge/model';
import {passEvent, type Output} from '../chain.js';

/** Creates audit events for the permits and the wave that a confirmed write of the pool record has changed. @internal */
export function createRecordAuditEvents(pool: PoolName, former: PoolRecord, current: PoolRecord): Output[] {
	const outputs: Output[] = [];
	const addEvent = (by: string, action: string, subject: string, detail: string) => {
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
			addEvent(by, `permit-${stage}`, `pool ${pool} instance ${id}`, targetPool === undefined ? reason : `${reason} to ${targetPool}`);
		}
	}

	if (current.wave !== undefined && (former.wave?.state !== current.wave.state || former.wave.id !== current.wave.id)) {
		addEvent(current.wave.by ?? 'system', `wave-${current.wave.state}`, `pool ${pool}`, current.wave.id);
	}

	return outputs;
}
