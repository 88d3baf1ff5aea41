import {createPrivateKey, randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {operatorHeaders, signOperatorCall} from '@pistachiogauge/http';
import {type OperatorCommand} from '@pistachiogauge/model';
import {request} from 'undici';
import {CliError} from './cli-error.js';

/** Where and as whom a command is sent. @public */
export type CallOptions = {
	/** Caller address of any entry. */
	readonly entry: string;
	readonly operator: string;
	/** File with the operator's private key. */
	readonly key: string;
};

const callTimeoutMs = 15_000;

/**
Sends a signed command to an entry and returns the answer.

@throws CliError when there is no answer or the command is refused.
@public
*/
export async function callEntry(options: CallOptions, command: OperatorCommand): Promise<unknown> {
	const body = JSON.stringify(command);
	const call = {
		operator: options.operator, issuedAt: Date.now(), nonce: randomUUID(), body,
	};
	const signature = signOperatorCall(call, createPrivateKey(readKeyFile(options.key)));
	const answer = await postCall(options.entry, body, {
		[operatorHeaders.operator]: call.operator,
		[operatorHeaders.issuedAt]: String(call.issuedAt),
		[operatorHeaders.nonce]: call.nonce,
		[operatorHeaders.signature]: signature,
	});
	if (answer.status !== 200) {
		const {message} = answer.body as {message?: string};
		throw new CliError(1, message ?? `the entry answered with status ${answer.status}`);
	}

	return answer.body;
}

async function postCall(entry: string, body: string, headers: Record<string, string>): Promise<{status: number; body: unknown}> {
	try {
		const answer = await request(`http://${entry}/operator/call`, {
			method: 'POST', body, headers, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs,
		});
		return {status: answer.statusCode, body: await answer.body.json()};
	} catch (error) {
		throw new CliError(1, `no answer from ${entry}; whether the command took effect is unknown`, {cause: error});
	}
}

function readKeyFile(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new CliError(2, `cannot read the key file ${file}`, {cause: error});
	}
}
