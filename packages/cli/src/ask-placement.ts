import {request} from 'undici';
import {CliError} from './cli-error.js';
import {decodeExplanation, type PlacementExplanation} from './placement-explanation.js';

/** @internal */
export type PlacementQuestion = {
	/** Control address of an entry. */
	readonly entry: string;
	/** Names of the options are those of the fields. */
	readonly fields: Readonly<Partial<Record<'queue' | 'host' | 'path' | 'account', string>>>;
	/** Name of the job's file, for messages. */
	readonly file: string;
	readonly job: unknown;
};

type Fault = {readonly field?: unknown; readonly message?: unknown};

/** Time for the whole answer. */
const answerTimeoutMs = 5000;
/** An explanation names each endpoint of a pool at most once for each step. */
const maxAnswerBytes = 4_000_000;

/** Messages for answers other than an explanation, by status. */
const refusalHandlers: ReadonlyMap<number, (question: PlacementQuestion, fault: Fault) => CliError> = new Map([
	[400, (question: PlacementQuestion, fault: Fault) => new CliError(2, `${formatField(question, String(fault.field))}: ${String(fault.message)}`)],
	[404, ({entry}: PlacementQuestion) => new CliError(1, `${entry} does not explain placement: it is no control address, or of an earlier version`)],
	[413, ({file}: PlacementQuestion) => new CliError(2, `${file}: larger than the entry accepts`)],
	[503, ({entry}: PlacementQuestion) => new CliError(1, `${entry} has just answered another question; try again`)],
]);

/**
Asks an entry where a job would be placed.

@throws CliError when there is no answer, or the question is refused.
@internal
*/
export async function askPlacement(question: PlacementQuestion): Promise<PlacementExplanation> {
	const {entry, fields, job} = question;
	const {status, text} = await sendQuestion(entry, JSON.stringify({...fields, job}));
	const body = parseAnswer(text);
	if (status !== 200) {
		const fault = (typeof body === 'object' && body !== null ? body : {}) as Fault;
		throw refusalHandlers.get(status)?.(question, fault) ?? new CliError(1, `${entry} answered with status ${status}`);
	}

	const explanation = decodeExplanation(body);
	if (explanation === undefined) {
		throw new CliError(1, `${entry} gave an answer that this version does not know`);
	}

	return explanation;
}

async function sendQuestion(entry: string, body: string): Promise<{readonly status: number; readonly text: string}> {
	try {
		const answer = await request(`http://${entry}/placement`, {
			method: 'POST', body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(answerTimeoutMs),
		});
		const chunks: Uint8Array[] = [];
		let size = 0;
		for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maxAnswerBytes) {
				throw new RangeError('the answer is too large');
			}

			chunks.push(chunk);
		}

		return {status: answer.statusCode, text: Buffer.concat(chunks).toString('utf8')};
	} catch (error) {
		throw new CliError(2, `no answer from ${entry}`, {cause: error});
	}
}

function parseAnswer(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Formats a field of the question: one of the job with its file, another one as the option that it comes from. */
function formatField({file}: PlacementQuestion, field: string): string {
	if (field === 'job') {
		return file;
	}

	return field.startsWith('job.') ? `${file}: ${field.slice('job.'.length)}` : `--${field}`;
}
