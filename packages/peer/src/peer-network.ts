import {randomUUID} from 'node:crypto';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {setTimeout as delay} from 'node:timers/promises';
import {
	Code, ConnectError, createClient, type ConnectRouter, type HandlerContext,
} from '@connectrpc/connect';
import {connectNodeAdapter, createConnectTransport} from '@connectrpc/connect-node';
import {type EntryId, type InputEvent} from '@pistachiogauge/model';
import {decodeFrame, encodeFrame} from './frame-codec.js';
import {FrameOutbox} from './frame-outbox.js';
import {PeerLink, type FrameBatch} from './generated/peer_pb.js';
import {listenForPeers} from './listen-for-peers.js';
import {type PeerNetwork, type PeerNetworkOptions} from './peer-network-options.js';
import {readClaim, readCredential, writeClaim} from './peer-claim.js';
import {repeatWithBackoff} from './repeat-with-backoff.js';
import {verifyPeerCredential, type PeerClaim} from './peer-credential.js';
import {PeerAuthenticationError, PeerFrameError} from './peer-errors.js';

type Link = {
	readonly entryId: EntryId;
	readonly address: string;
	readonly outbox: FrameOutbox;
	readonly abort: AbortController;
	lastFrameAt: number;
};

type WantedLink = {
	readonly address: string;
	readonly stop: AbortController;
};

/** Time for frames that wait when the network stops. */
const flushLimitMs = 500;
const flushPollMs = 5;
/** Creates the links of one entry. @public */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const links = new Map<EntryId, Link>();
	const wanted = new Map<EntryId, WantedLink>();
	const sessions = new Set<ServerHttp2Session>();
	let server: Http2Server | undefined;
	const stopping = new AbortController();

	function registerLink(entryId: EntryId, address: string, outbox: FrameOutbox, abort: AbortController): Link {
		const link: Link = {
			entryId, address, outbox, abort, lastFrameAt: performance.now(),
		};
		const former = links.get(entryId);
		if (former !== undefined) {
			removeLink(former);
		}

		links.set(entryId, link);
		options.pushEvent({kind: 'link-up', entryId});
		return link;
	}

	function removeLink(link: Link): void {
		link.outbox.close();
		link.abort.abort();
		if (links.get(link.entryId) === link) {
			links.delete(link.entryId);
			options.pushEvent({kind: 'link-down', entryId: link.entryId});
		}
	}

	async function receiveFrames(link: Link, batches: AsyncIterable<FrameBatch>): Promise<void> {
		for await (const batch of batches) {
			receiveBatch(link, batch);
		}
	}

	function receiveBatch(link: Link, batch: FrameBatch): void {
		link.lastFrameAt = performance.now();
		for (const frame of batch.frames) {
			options.count('peer_frames_received_total');
			options.count('peer_bytes_received_total', frame.length);
			receiveFrame(link, frame);
		}
	}

	/** Ends the streams after the frames that wait, such as results that receivers still need. */
	async function sendWaitingFrames(): Promise<void> {
		const startedAt = performance.now();
		for (const {outbox} of links.values()) {
			outbox.close();
		}

		while (links.size > 0 && performance.now() - startedAt < flushLimitMs) {
			// eslint-disable-next-line no-await-in-loop
			await delay(flushPollMs);
		}
	}

	function receiveFrame(link: Link, frame: Uint8Array): void {
		if (links.get(link.entryId) !== link) {
			return;
		}

		try {
			const message = decodeFrame(frame);
			options.pushEvent({kind: `peer-${message.kind}`, from: link.entryId, message} as InputEvent);
		} catch (error) {
			if (!(error instanceof PeerFrameError)) {
				throw error;
			}

			options.count('peer_frames_malformed_total');
			options.log('warn', 'malformed frame dropped', {peer: link.entryId, address: link.address});
		}
	}

	/** Closes a link that has gone silent, although nothing has reported it as broken. */
	function watchSilence(link: Link): NodeJS.Timeout {
		return setInterval(() => {
			if (performance.now() - link.lastFrameAt > options.idleTimeoutMs) {
				options.log('warn', 'silent link closed', {peer: link.entryId, address: link.address});
				removeLink(link);
			}
		}, options.idleTimeoutMs / 4);
	}

	async function * runExchange(batches: AsyncIterable<FrameBatch>, context: HandlerContext): AsyncGenerator<{frames: Uint8Array[]}> {
		const claim = readClaim(context.requestHeader);
		const credential = readCredential(context.requestHeader);
		if (claim.to !== options.id || !verifyPeerCredential(options.secret, claim, credential, Date.now())) {
			options.count('peer_links_refused_total');
			options.log('warn', 'link refused', {peer: claim.from, address: 'incoming'});
			throw new ConnectError('not authenticated, or another incarnation', Code.Unauthenticated);
		}

		writeClaim(context.responseHeader, options.secret, {
			from: options.id, to: claim.from, issuedAt: Date.now(), nonce: claim.nonce,
		});
		const link = registerLink(claim.from, 'incoming', new FrameOutbox(), new AbortController());
		const silenceTimer = watchSilence(link);
		const receiving = receiveFrames(link, batches).catch(() => undefined).finally(() => {
			removeLink(link);
		});
		try {
			// An empty first batch sends the response headers at once.
			yield {frames: []};
			for await (const frames of link.outbox.readBatches()) {
				yield {frames};
			}

			if (stopping.signal.aborted) {
				await Promise.race([receiving, delay(flushLimitMs)]);
			}
		} finally {
			clearInterval(silenceTimer);
			removeLink(link);
		}
	}

	async function runClientLink(entryId: EntryId, address: string, signal: AbortSignal): Promise<void> {
		const claim: PeerClaim = {
			from: options.id, to: entryId, issuedAt: Date.now(), nonce: randomUUID(),
		};
		const headers = new Headers();
		writeClaim(headers, options.secret, claim);
		const transport = createConnectTransport({baseUrl: `http://${address}`, httpVersion: '2'});
		const client = createClient(PeerLink, transport);
		const outbox = new FrameOutbox();
		const abort = new AbortController();
		const stop = () => {
			abort.abort();
			outbox.close();
		};

		signal.addEventListener('abort', stop, {once: true});
		const openTimer = setTimeout(stop, options.idleTimeoutMs);
		let link: Link | undefined;
		let silenceTimer: NodeJS.Timeout | undefined;
		try {
			const batches = client.exchange(readOutboxBatches(outbox), {
				headers,
				signal: abort.signal,
				onHeader(answer) {
					verifyAnswer(answer, claim);
					clearTimeout(openTimer);
					link = registerLink(entryId, address, outbox, abort);
					silenceTimer = watchSilence(link);
				},
			});
			for await (const batch of batches) {
				if (link === undefined) {
					throw new PeerAuthenticationError('no answer to the credential');
				}

				receiveBatch(link, batch);
			}
		} finally {
			clearTimeout(openTimer);
			clearInterval(silenceTimer);
			signal.removeEventListener('abort', stop);
			stop();
			if (link !== undefined) {
				removeLink(link);
			}
		}
	}

	function verifyAnswer(headers: Headers, asked: PeerClaim): void {
		const claim = readClaim(headers);
		const credential = readCredential(headers);
		const isExpected = claim.from === asked.to && claim.to === options.id && claim.nonce === asked.nonce;
		if (!isExpected || !verifyPeerCredential(options.secret, claim, credential, Date.now())) {
			options.count('peer_links_refused_total');
			throw new PeerAuthenticationError(`the entry at the address of ${asked.to} has not authenticated itself`);
		}
	}

	async function keepLink(entryId: EntryId, {address, stop}: WantedLink): Promise<void> {
		const signal = AbortSignal.any([stop.signal, stopping.signal]);
		await repeatWithBackoff(async () => runClientLink(entryId, address, stop.signal), signal, error => {
			options.log('debug', 'link ended', {peer: entryId, address, reason: error instanceof Error ? error.message : String(error)});
		});
	}

	return {
		async start() {
			const routes = (router: ConnectRouter) => router.service(PeerLink, {exchange: runExchange});
			server = createServer(connectNodeAdapter({routes}));
			server.on('session', session => {
				sessions.add(session);
				session.on('close', () => sessions.delete(session));
				session.on('error', () => undefined);
			});
			await listenForPeers(server, options.address);
		},
		async stop() {
			stopping.abort();
			await sendWaitingFrames();
			for (const {stop} of wanted.values()) {
				stop.abort();
			}

			for (const link of links.values()) {
				removeLink(link);
			}

			for (const session of sessions) {
				session.destroy();
			}

			server?.close();
		},
		sendMessage(to, message) {
			const link = links.get(to);
			if (link === undefined) {
				return;
			}

			const frame = encodeFrame(message);
			options.count('peer_frames_sent_total');
			options.count('peer_bytes_sent_total', frame.length);
			if (!link.outbox.addFrame(frame)) {
				options.log('warn', 'link does not drain', {peer: to, address: link.address});
				removeLink(link);
			}
		},
		openLink(entryId, address) {
			wanted.get(entryId)?.stop.abort();
			const link: WantedLink = {address, stop: new AbortController()};
			wanted.set(entryId, link);
			void keepLink(entryId, link);
		},
		closeLink(entryId) {
			wanted.get(entryId)?.stop.abort();
			wanted.delete(entryId);
		},
	};
}

async function * readOutboxBatches(outbox: FrameOutbox): AsyncGenerator<{frames: Uint8Array[]}> {
	// An empty first batch sends the request headers at once.
	yield {frames: []};
	for await (const frames of outbox.readBatches()) {
		yield {frames};
	}
}
