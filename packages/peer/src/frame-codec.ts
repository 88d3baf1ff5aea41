import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {
	controlMessageSchema, outcomeReasonSchema, outcomeSchema, requestClassSchema, requestModeSchema,
	type ControlMessage, type HeaderList, type PeerMessage, type PeerMessageKind, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';
import {
	FrameSchema, type Answer, type AnswerSchema, type Frame, type Header, type Request, type RequestSchema,
} from './generated/peer_pb.js';
import {PeerFrameError} from './peer-errors.js';

type FrameBody = MessageInitShape<typeof FrameSchema>['body'];
type BodyCase = Exclude<Frame['body']['case'], undefined>;
type BodyValue<Case extends BodyCase> = Extract<Frame['body'], {case: Case}>['value'];

type BodyEncoders = {
	readonly [Kind in Exclude<PeerMessageKind, ControlMessage['kind']>]: (message: Extract<PeerMessage, {kind: Kind}>) => FrameBody;
};

type BodyDecoders = {
	readonly [Case in BodyCase]: (value: BodyValue<Case>) => PeerMessage;
};

const bodyEncoders: BodyEncoders = {
	forward: ({pool, request}) => ({case: 'forward', value: {pool, request: encodeRequest(request)}}),
	result: ({requestId, result}) => ({case: 'result', value: {requestId, answer: encodeAnswer(result)}}),
	'not-owner': ({requestId, epoch}) => ({case: 'notOwner', value: {requestId, epoch}}),
	'key-settled': ({pool, key, reservation, result}) => ({
		case: 'keySettled', value: {
			pool, key, reservation, answer: encodeOptionalAnswer(result),
		},
	}),
	'keys-copied': ({kind: _kind, services, keys, ...rest}) => ({
		case: 'keysCopied',
		value: {
			...rest,
			services: services.map(({service, since}) => ({service, since})),
			keys: keys.map(({result, ...key}) => ({...key, answer: encodeOptionalAnswer(result)})),
		},
	}),
};

const bodyDecoders: BodyDecoders = {
	control: text => controlMessageSchema.parse(JSON.parse(text)),
	forward: ({pool, request}) => ({kind: 'forward', pool, request: decodeRequest(request)}),
	result: ({requestId, answer}) => ({kind: 'result', requestId, result: decodeAnswer(answer)}),
	notOwner: ({requestId, epoch}) => ({kind: 'not-owner', requestId, epoch}),
	keySettled: ({pool, key, reservation, answer}) => ({
		kind: 'key-settled', pool, key, reservation, result: decodeOptionalAnswer(answer),
	}),
	keysCopied: ({epoch, pool, transfer, index, isLast, isHandover, coverageSince, services, keys}) => ({
		kind: 'keys-copied',
		epoch,
		pool,
		transfer,
		index,
		isLast,
		isHandover,
		coverageSince,
		services: services.map(({service, since}) => ({service, since})),
		keys: keys.map(({key, fingerprint, reservation, answer}) => ({
			key, fingerprint, reservation, result: decodeOptionalAnswer(answer),
		})),
	}),
};

/** Encodes a message as a frame; kinds without an encoder of their own are sent as JSON. @public */
export function encodeFrame(message: PeerMessage): Uint8Array {
	const encoder = (bodyEncoders as Record<string, ((value: PeerMessage) => FrameBody) | undefined>)[message.kind];
	const body: FrameBody = encoder === undefined ? {case: 'control', value: JSON.stringify(message)} : encoder(message);
	return toBinary(FrameSchema, create(FrameSchema, {body}));
}

/**
Decodes a frame.

@throws PeerFrameError when the bytes are not a valid frame.
@public
*/
export function decodeFrame(bytes: Uint8Array): PeerMessage {
	try {
		const {body} = fromBinary(FrameSchema, bytes);
		if (body.case === undefined) {
			throw new TypeError('the frame has no body');
		}

		const decoder = bodyDecoders[body.case] as (value: unknown) => PeerMessage;
		return decoder(body.value);
	} catch (error) {
		throw new PeerFrameError('malformed frame', {cause: error});
	}
}

function encodeRequest(request: ServiceRequest): MessageInitShape<typeof RequestSchema> {
	return {...request, headers: encodeHeaders(request.headers), key: request.key ?? ''};
}

function decodeRequest(request: Request | undefined): ServiceRequest {
	if (request === undefined) {
		throw new TypeError('the request is missing');
	}

	return {
		requestId: request.requestId,
		service: request.service,
		method: request.method,
		path: request.path,
		headers: decodeHeaders(request.headers),
		body: request.body,
		mode: requestModeSchema.parse(request.mode),
		requestClass: requestClassSchema.parse(request.requestClass),
		team: request.team,
		isIdempotent: request.isIdempotent,
		key: request.key === '' ? undefined : request.key,
		timeLeftMs: request.timeLeftMs,
		finishWithinMs: request.finishWithinMs,
	};
}

function encodeAnswer(result: RequestResult): MessageInitShape<typeof AnswerSchema> {
	return {...result, reason: result.reason ?? '', headers: encodeHeaders(result.headers)};
}

function decodeAnswer(answer: Answer | undefined): RequestResult {
	if (answer === undefined) {
		throw new TypeError('the answer is missing');
	}

	return {
		outcome: outcomeSchema.parse(answer.outcome),
		reason: answer.reason === '' ? undefined : outcomeReasonSchema.parse(answer.reason),
		status: answer.status,
		headers: decodeHeaders(answer.headers),
		body: answer.body,
		retryAfterMs: answer.retryAfterMs,
	};
}

function encodeOptionalAnswer(result: RequestResult | undefined): MessageInitShape<typeof AnswerSchema> | undefined {
	return result === undefined ? undefined : encodeAnswer(result);
}

function decodeOptionalAnswer(answer: Answer | undefined): RequestResult | undefined {
	return answer === undefined ? undefined : decodeAnswer(answer);
}

function encodeHeaders(headers: HeaderList): Array<{name: string; value: string}> {
	return headers.map(([name, value]) => ({name, value}));
}

function decodeHeaders(headers: readonly Header[]): HeaderList {
	return headers.map(({name, value}) => [name, value]);
}
