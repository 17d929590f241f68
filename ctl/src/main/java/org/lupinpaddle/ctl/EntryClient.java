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
package org.lupinpaddle.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Sends a command to the first reachable entry. Tries the next entry only if no connection was made: once an entry may
 * have read the command, the operator has to ask whether it took effect.
 */
final class EntryClient implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long ANSWER_TIMEOUT_SECONDS = 20;
    private static final int UNAUTHORIZED = 401;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client = new HttpClient();
    private final ToolOptions options;

    EntryClient(ToolOptions options) throws Exception {
        this.options = options;
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.start();
        client.getProtocolHandlers().clear();
    }

    /** Returns the entry's answer to a command. */
    JsonNode send(String commandLine) throws ToolException {
        StringBuilder triedEntries = new StringBuilder();
        for (String entry : options.entries()) {
            try {
                return sendTo(entry, commandLine);
            } catch (ConnectException e) {
                triedEntries.append(triedEntries.isEmpty() ? "" : ", ").append(entry);
            }
        }
        throw new ToolException(ExitCode.NO_ENTRY, "no entry answers; tried " + triedEntries);
    }

    private JsonNode sendTo(String entry, String commandLine) throws ToolException, ConnectException {
        Request request = client.POST("http://" + entry + "/v1/command")
                .headers(h -> {
                    h.put("Authorization", "Bearer " + options.token());
                    String operator = options.operator();
                    if (operator != null) {
                        h.put("Operator-Name", operator);
                    }
                })
                .body(new StringRequestContent("text/plain", commandLine))
                .timeout(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        ContentResponse response = execute(entry, request);
        if (response.getStatus() == UNAUTHORIZED) {
            throw new ToolException(ExitCode.REFUSED, entry + " refuses the token; set " + ToolOptions.TOKEN_VARIABLE);
        }
        try {
            return mapper.readTree(response.getContentAsString());
        } catch (JsonProcessingException e) {
            throw new ToolException(ExitCode.UNKNOWN, entry + " did not answer as an entry does");
        }
    }

    private static ContentResponse execute(String entry, Request request) throws ToolException, ConnectException {
        try {
            return request.send();
        } catch (ExecutionException e) {
            if (isConnectFailure(e)) {
                throw new ConnectException(entry);
            }
            throw new ToolException(ExitCode.UNKNOWN, entry + " broke off before it answered; ask what is in force");
        } catch (TimeoutException e) {
            throw new ToolException(ExitCode.UNKNOWN, entry + " did not answer in time; ask what is in force");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ToolException(ExitCode.UNKNOWN, "interrupted");
        }
    }

    private static boolean isConnectFailure(Throwable e) {
        for (Throwable t : List.of(e, e.getCause() == null ? e : e.getCause())) {
            if (t instanceof ConnectException || t instanceof java.net.SocketTimeoutException) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }
}
