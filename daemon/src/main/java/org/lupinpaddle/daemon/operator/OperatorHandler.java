/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;

/**
 * Serves the HTTP API for operators: {@code POST /v1/command} with one command line as its body. A request
 * without the correct bearer token is answered with 401 and has no effect.
 */
public final class OperatorHandler extends Handler.Abstract.NonBlocking {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_COMMAND_BYTES = 16_384;
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;

    private final byte[] token;
    private final EventLoop loop;
    private final CommandExecutor executor;

    /** Creates the handler; {@code token} is never passed on or logged. */
    public OperatorHandler(String token, EventLoop loop, CommandExecutor executor) {
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.loop = loop;
        this.executor = executor;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!isAuthorized(request.getHeaders().get(HttpHeader.AUTHORIZATION))) {
            Log.warn("operator-refused", "remote", Request.getRemoteAddr(request));
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
            answer(response, callback, UNAUTHORIZED, CommandResult.refused("a bearer token is needed"));
        } else if (!HttpMethod.POST.is(request.getMethod())
                || !request.getHttpURI().getCanonicalPath().equals("/v1/command")) {
            answer(response, callback, NOT_FOUND, CommandResult.refused("POST /v1/command takes a command"));
        } else {
            CompletableFuture<byte[]> body = Content.Source.asByteArrayAsync(request, MAX_COMMAND_BYTES);
            body.whenComplete((bytes, failure) -> {
                if (failure != null) {
                    answer(response, callback, TOO_LARGE, CommandResult.refused("a command is too long"));
                } else {
                    run(new String(bytes, StandardCharsets.UTF_8), request, response, callback);
                }
            });
        }
        return true;
    }

    private boolean isAuthorized(@org.jspecify.annotations.Nullable String header) {
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            return false;
        }
        byte[] given = header.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(given, token);
    }

    private void run(String commandLine, Request request, Response response, Callback callback) {
        String remoteAddress = Request.getRemoteAddr(request);
        String name = request.getHeaders().get("Operator-Name");
        String operator = name == null || name.isBlank() ? remoteAddress : name;
        loop.execute(() -> executor.run(commandLine, operator, result -> answer(response, callback, OK, result)));
    }

    private static void answer(Response response, Callback callback, int status, CommandResult result) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, MAPPER.valueToTree(result).toString() + "\n", callback);
    }
}
