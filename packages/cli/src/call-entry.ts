import {createPrivateKey, randomUUID, type KeyObject} from 'node:crypto';
import {readFileSync, statSync} from 'node:fs';
import {operatorHeaders, signOperatorCall} from '@pistachiogauge/http';
import {type OperatorCommand} from '@pistachiogauge/model';
import {request} from 'undici';
import {CliError} from './cli-error.js';

/** The entry that a command is sent to and the operator who signs it. @public */
export type CallOptions = {
	/** Address of any entry's server for callers. */
	readonly entry: string;
	readonly operator: string;
	/** Path of the operator's private key. */
	readonly privateKeyFile: string;
};

const callTimeoutMs = 15_000;
const addressPattern = /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u;

/**
Sends a signed command to an entry and returns the body of its answer.

@throws CliError when there is no answer or the command is refused.
@public
*/
export async function callEntry(options: CallOptions, command: OperatorCommand): Promise<unknown> {
	verifyEntryAddress(options.entry);
	const body = JSON.stringify(command);
	const call = {
		operator: options.operator, issuedAt: Date.now(), nonce: randomUUID(), body,
	};
	const signature = signOperatorCall(call, readPrivateKey(options.privateKeyFile));
	const answer = await sendCall(options.entry, body, {
		[operatorHeaders.operator]: call.operator,
		[operatorHeaders.issuedAt]: String(call.issuedAt),
		[operatorHeaders.nonce]: call.nonce,
		[operatorHeaders.signature]: signature,
	});
	if (answer.status !== 200) {
		const {message} = (answer.body ?? {}) as {message?: unknown};
		throw new CliError(1, typeof message === 'string' ? message : `the entry answered with status ${answer.status}`);
	}

	return answer.body;
}

/** @throws CliError when the value of `--entry` is not an IP number and port. @internal */
export function verifyEntryAddress(entry: string): void {
	if (!addressPattern.test(entry)) {
		throw new CliError(2, `--entry: expected an IP number and port, such as 10.0.0.1:8080, not ${entry}`);
	}
}

async function sendCall(entry: string, body: string, headers: Record<string, string>): Promise<{status: number; body: unknown}> {
	try {
		const answer = await request(`http://${entry}/operator/call`, {
			method: 'POST', body, headers, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs,
		});
		return {status: answer.statusCode, body: await answer.body.json()};
	} catch (error) {
		throw new CliError(1, `no answer from ${entry}; whether the command took effect is unknown`, {cause: error});
	}
}

/** Reads an operator's private key and refuses a file that other users can read. @internal */
export function readPrivateKeyText(file: string): string {
	try {
		// The last two octal digits are the permissions of the group and of all other users.
		if (!statSync(file).mode.toString(8).endsWith('00')) {
			throw new CliError(2, `the key file ${file} can be read by others; run chmod 600 ${file}`);
		}

		return readFileSync(file, 'utf8');
	} catch (error) {
		if (error instanceof CliError) {
			throw error;
		}

		throw new CliError(2, `cannot read the key file ${file}`, {cause: error});
	}
}

function readPrivateKey(file: string): KeyObject {
	const text = readPrivateKeyText(file);
	try {
		return createPrivateKey(text);
	} catch (error) {
		throw new CliError(2, `the key file ${file} holds no private key; expected Ed25519 in PEM`, {cause: error});
	}
}
