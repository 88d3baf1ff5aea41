import {type RequestResult, type TaskRecord} from '@pistachiogauge/model';
import {createCompletedResult} from '../results.js';

const encoder = new TextEncoder();

/** Creates the answer that describes a task to its caller. @internal */
export function createTaskStatusResult(task: TaskRecord, status: 200 | 202): RequestResult {
	const {id, service, stage, outcome, status: endpointStatus, acceptedAt, deadlineAt} = task;
	const body = {
		id, stage, outcome, status: endpointStatus, acceptedAt: new Date(acceptedAt).toISOString(), finishBy: new Date(deadlineAt).toISOString(),
	};
	return createCompletedResult(
		status,
		[['content-type', 'application/json'], ['location', `/tasks/${service}/${id}`]],
		encoder.encode(`${JSON.stringify(body)}\n`),
	);
}
