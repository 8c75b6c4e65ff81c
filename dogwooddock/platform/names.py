"""Names that the platform uses on the wire, in one place."""

__all__ = [
    "CALLER_SERVICE",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "INSTANCE_ID",
    "NOT_RUN",
    "OPERATOR_KEY",
    "OPERATOR_TABLE",
    "READY_PATH",
    "REQUEST_ID",
    "RETRY_AFTER",
    "RPC_PATH",
    "SETTINGS_VARIABLE",
    "STAMP",
]

SETTINGS_VARIABLE = "DOGWOODDOCK_NODE_FILE"

REQUEST_ID = b"dogwooddock-request-id"
DEADLINE_MS = b"dogwooddock-deadline-ms"
EXPECT_INSTANCE = b"dogwooddock-expect-instance"
CALLER_SERVICE = b"dogwooddock-caller-service"
INSTANCE_ID = b"dogwooddock-instance-id"
NOT_RUN = b"dogwooddock-not-run"
STAMP = b"dogwooddock-server-stamp"
RETRY_AFTER = b"retry-after"

READY_PATH = b"/ready"
RPC_PATH = b"/rpc"

OPERATOR_TABLE = "op"
OPERATOR_KEY = "config"
