import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {type PlacementExplanation} from './placement-explanation.js';
import {runCommandLine} from './run-command-line.js';

const folder = mkdtempSync(join(tmpdir(), 'pistachiogauge-place-'));
const files = {
	job: join(folder, 'job.json'), broken: join(folder, 'broken.json'), large: join(folder, 'large.json'), missing: join(folder, 'missing.json'),
};
const job = {payload: '', steps: [{count: 1}]};
const free = {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0};
const owner = {node: 'entry-1', token: 7};
const explained: PlacementExplanation = {
	kind: 'explained',
	queue: 'prints',
	pool: 'desk',
	owner,
	isStarted: true,
	isKeyRequired: true,
	policy: 'least-cost',
	objectiveStatus: 'timely',
	rank: 1,
	rankedJobs: 3,
	endpointUses: {usable: {count: 2, longestMs: 700}, silent: {count: 1, longestMs: 50}},
	steps: [{
		step: 0, tasks: 1, outcome: 'starts', endpoints: [{
			endpointId: 'e\u001B1', rack: 'r1', tasks: 1, free,
		}],
	}],
};
const explainWait = (waitReason: string, account?: string): PlacementExplanation => ({
	...explained,
	isStarted: false,
	rank: undefined,
	account: account === undefined
		? undefined
		: {
			name: account, cap: {cpuMillis: 5000}, share: {cpuMillis: 4000}, used: {cpuMillis: 3500, memoryMb: 0, gpus: 0},
		},
	steps: [{
		step: 0, tasks: 1, outcome: 'waits', endpoints: [], waitReason,
	}],
});
const createElsewhere = (peerAddress: string | undefined): PlacementExplanation => ({
	kind: 'owned-elsewhere', queue: 'prints', pool: 'desk', owner: {node: 'entry-2', token: 9}, peerAddress,
});

type Answer = {readonly status: number; readonly body: unknown};

const plainReasons = ['claim', 'survey', 'no-endpoint', 'no-room', 'endpoint-limit', 'gang', 'advice'];

/** Answers by queue. */
const answers = new Map<string, Answer>(Object.entries({
	prints: {status: 200, body: explained},
	...Object.fromEntries(plainReasons.map(reason => [reason, {status: 200, body: explainWait(reason)}])),
	'account-cap': {status: 200, body: explainWait('account-cap', 'press')},
	unowned: {status: 200, body: {kind: 'owner-unknown', queue: 'prints', pool: 'desk'}},
	unreachable: {status: 200, body: createElsewhere(undefined)},
	departed: {status: 200, body: createElsewhere('127.0.0.1:1')},
	unread: {status: 200, body: {kind: 'not-configured'}},
	unknown: {status: 200, body: {kind: 'unknown-queue'}},
	later: {status: 200, body: {kind: 'predicted'}},
	malformed: {status: 400, body: {error: 'malformed', field: 'job.steps[0].room', message: 'expected number'}},
	busy: {status: 503, body: {error: 'busy'}},
	old: {status: 404, body: ''},
	failed: {status: 500, body: {error: 'failed'}},
}));

let servers: Server[];
let entry = '';
let asked: unknown[] = [];

async function listen(getAnswer: (queue: string) => Answer): Promise<{readonly server: Server; readonly address: string}> {
	const server = createServer((request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => chunks.push(chunk));
		request.on('end', () => {
			const question = JSON.parse(Buffer.concat(chunks).toString()) as {readonly queue?: string};
			asked.push(question);
			const {status, body} = getAnswer(question.queue ?? 'prints');
			response.statusCode = status;
			response.end(JSON.stringify(body));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

beforeAll(async () => {
	writeFileSync(files.job, JSON.stringify(job));
	writeFileSync(files.broken, '{');
	writeFileSync(files.large, JSON.stringify({payload: 'x'.repeat(60_000)}));
	const peer = await listen(queue => ({status: 200, body: queue === 'followed' ? explained : createElsewhere(entry)}));
	const first = await listen(queue => answers.get(queue) ?? {status: 200, body: createElsewhere(peer.address)});
	servers = [peer.server, first.server];
	entry = first.address;
});

afterAll(() => {
	for (const server of servers) {
		server.close();
	}

	rmSync(folder, {recursive: true});
});

type Case = {readonly line: string; readonly code: number; readonly text: RegExp; readonly questions?: number};

const waitCases = [...plainReasons, 'account-cap'].map((reason): Case => ({
	line: `{job} --queue ${reason}`, code: 1, text: new RegExp(String.raw`would wait[\s\S]*rank\s+none, 3 other[\s\S]*waits\s+${reason}\s`, 'u'), questions: 1,
}));

// Guards against wrong exit codes, which break operators' scripts, and against output that does not name the error.
const cases: readonly Case[] = [
	{
		line: '{job} --queue prints', code: 0, text: /would start now[\s\S]*rank\s+1 of 3[\s\S]*without an account[\s\S]*starts\s+-\s+e\?1\s+1\s+16000\s+64000\s+0[\s\S]*silent\s+1\s+50/u, questions: 1,
	},
	{line: '{job} --host shop --path /prints/1', code: 0, text: /would start now/u},
	{line: '{job} --queue prints --json', code: 0, text: /^\{\n\t"kind": "explained"[\s\S]*"endpointId"/u},
	...waitCases,
	{line: '{job} --queue account-cap --account press', code: 1, text: /account\s+press[\s\S]*cap\s+5000\s+unlimited[\s\S]*share of pool\s+4000[\s\S]*in use in pool\s+3500/u},
	{
		line: '{job} --queue followed', code: 0, text: /would start now/u, questions: 2,
	},
	{
		line: '{job} --queue moving', code: 1, text: /owner\s+entry-2/u, questions: 2,
	},
	{line: '{job} --queue unreachable', code: 1, text: /owner\s+entry-2[\s\S]*address\s+unknown/u},
	{line: '{job} --queue departed', code: 2, text: /no answer from 127\.0\.0\.1:1\n/u},
	{line: '{job} --queue unowned', code: 1, text: /owner\s+unknown/u},
	{line: '{job} --queue unowned --json', code: 1, text: /"kind": "owner-unknown"/u},
	{line: '{job} --queue unread', code: 1, text: /has not read a configuration/u},
	{line: '{job} --queue unknown', code: 2, text: /--queue: .* knows no queue unknown/u},
	{line: '{job} --queue later', code: 1, text: /this version does not know/u},
	{line: '{job} --queue malformed', code: 2, text: /job\.json: steps\[0\]\.room: expected number/u},
	{line: '{job} --queue busy', code: 1, text: /try again/u},
	{line: '{job} --queue old', code: 1, text: /does not explain placement/u},
	{line: '{job} --queue failed', code: 1, text: /status 500/u},
	{
		line: '{job}', code: 2, text: /either --queue, or --host and --path/u, questions: 0,
	},
	{line: '{job} --queue prints --host shop', code: 2, text: /either --queue/u},
	{line: '{broken} --queue prints', code: 2, text: /broken\.json: not JSON/u},
	{line: '{large} --queue prints', code: 2, text: /large\.json: a job has at most/u},
	{line: '{missing} --queue prints', code: 2, text: /cannot read .*missing\.json/u},
	{line: '{job} --queue prints --entry nowhere', code: 2, text: /--entry: expected an IP number and port/u},
	{line: '{job} --queue prints --entry 127.0.0.1:1', code: 2, text: /no answer from 127\.0\.0\.1:1/u},
	{line: '--queue prints', code: 2, text: /usage: pistachiogauge place <file>/u},
];

describe('pistachiogauge place', () => {
	it.each(cases)('$line', async ({line, code, text, questions}) => {
		asked = [];
		const words = line.replaceAll(/\{(?<name>\w+)\}/gu, (_, name: keyof typeof files) => files[name]).split(' ');
		const access = line.includes('--entry') ? [] : ['--entry', entry];
		let output = '';
		const write = (part: string) => {
			output += part;
		};

		const result = await runCommandLine(['place', ...words, ...access], {writeResult: write, writeError: write});
		expect(output).toMatch(text);
		expect(result).toBe(code);
		expect(asked).toHaveLength(questions ?? asked.length);
	});

	// Guards against a question that leaves out what the answer depends on.
	it('sends the options and the job', async () => {
		asked = [];
		const write = () => undefined;
		await runCommandLine(['place', files.job, '--queue', 'prints', '--account', 'press', '--entry', entry], {writeResult: write, writeError: write});
		expect(asked).toEqual([{queue: 'prints', account: 'press', job}]);
	});
});
